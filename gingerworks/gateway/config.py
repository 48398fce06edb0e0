"""The gateway's configuration: a JSON file, some of whose values environment variables override.

``NODE_CONFIG`` names the file.  It is checked as a whole, at the start and when it is reread; a value that is
missing or wrong raises ``ConfigError`` or ``interface.SettingsError``, with a text that names it.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from gingerworks import interface, wire

Address = tuple[str, int]

BYTES_PER_MB = 1 << 20
DEFAULT_SOCKETS = 1024  # the limit on the process's open connections, if the file sets none


class ConfigError(ValueError):
    """The configuration is missing or wrong; the text names the value."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway process."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory_limit_bytes: int | None  # the process is killed beyond this; None if the file names no limit
    known: object
    idle_timeout_ns: int  # servers close idle connections after this long at the latest
    settings: interface.Settings


def address_from(text: object, what: str) -> Address:
    """Split ``host:port``; ``what`` names the value in the error message."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: '{str(text)[: wire.MAX_SHOWN_CHARS]}' is not host:port")
    return host.strip("[]"), int(port)


def load(environment: Mapping[str, str], is_reload: bool = False) -> Config:
    """Read the file that NODE_CONFIG names; the other variables override what it says.

    On a reload the file's address of discovery overrides the variable ``NODE_DISCOVERY``, which can't change
    while the process runs.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"NODE_CONFIG: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("NODE_CONFIG: not an object")
    overrides = {
        "name": environment.get("NODE_NAME"),
        "listen": environment.get("NODE_LISTEN"),
        "discovery": None if is_reload and raw.get("discovery") else environment.get("NODE_DISCOVERY"),
    }
    return config_from(raw | {key: value for key, value in overrides.items() if value})


def config_from(raw: dict[str, Any]) -> Config:
    """Check the content of the file and convert it."""
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError("settings is missing")
    fields = wire.Fields(f"{path}={value}" for path, value in flatten(raw["settings"]))
    try:
        settings = wire.settings_from(fields)
        idle_timeout_ns = fields.integer("limits.conn-idle-ns", "15000000000")
    except ValueError as error:
        raise ConfigError(str(error)) from None
    if idle_timeout_ns <= 0:
        raise ConfigError("settings: limits.conn-idle-ns is out of range")
    if settings.has_counter and not raw.get("counter"):
        raise ConfigError("counter is missing")
    limits = raw.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigError(
            f"limits.sockets: '{str(sockets)[: wire.MAX_SHOWN_CHARS]}' is not a whole number of at least 64"
        )
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(
            f"seed: '{str(raw['seed'])[: wire.MAX_SHOWN_CHARS]}' is not a hexadecimal number"
        ) from None
    return Config(
        name=str(raw.get("name", "gateway")),
        listen=address_from(raw.get("listen", ""), "listen"),
        discovery=address_from(raw.get("discovery", ""), "discovery"),
        counter=address_from(raw["counter"], "counter") if raw.get("counter") else None,
        seed=seed,
        sockets=sockets,
        memory_limit_bytes=_memory_limit_bytes(limits.get("memory_mb")),
        known=raw.get("known"),
        idle_timeout_ns=idle_timeout_ns,
        settings=settings,
    )


def _memory_limit_bytes(memory_mb: object) -> int | None:
    if memory_mb is None:
        return None
    if isinstance(memory_mb, bool) or not isinstance(memory_mb, (int, float)) or not 0 < memory_mb < 1 << 30:
        raise ConfigError(
            f"limits.memory_mb: '{str(memory_mb)[: wire.MAX_SHOWN_CHARS]}' is not a number of megabytes"
        )
    return int(memory_mb * BYTES_PER_MB)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """The paths and values of nested JSON, in the form of the simulator's start message."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for number, item in enumerate(value):
            yield from flatten(item, f"{path}.{number}")
    elif isinstance(value, list):
        yield path, ",".join(map(_plain, value))
    elif value is not None:
        yield path, _plain(value)


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer() and abs(value) < 2**53:
        return str(int(value))
    return str(value)
