"""Parses numbers from HTTP headers and from the counter, strictly.

``int`` and ``float`` accept far more than these protocols allow, such as '1_0', '+1', ' 1', '0x1', 'nan' and
digits of other scripts.
"""

from __future__ import annotations

import math
import re

# These characters may follow a header's value without being a part of it (RFC 9110, 5.5); the parser keeps
# them.
OPTIONAL_WHITESPACE = b" \t"

_WHOLE = re.compile(rb"[0-9]{1,18}")
_DECIMAL = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,18})?")
_SIGNED = re.compile(rb"-?[0-9]{1,18}(\.[0-9]{1,18})?([eE][-+]?[0-9]{1,3})?")


def parse_whole(text: bytes) -> int | None:
    """A whole number of at least 0, or None."""
    return int(text) if _WHOLE.fullmatch(text) else None


def parse_decimal(text: bytes) -> float | None:
    """A number of at least 0, with or without decimals, or None."""
    return float(text) if _DECIMAL.fullmatch(text) else None


def parse_signed(text: bytes) -> float | None:
    """A finite number, which may have a minus sign and an exponent, or None."""
    value = float(text) if _SIGNED.fullmatch(text) else math.inf
    return value if math.isfinite(value) else None
