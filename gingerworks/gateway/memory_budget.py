"""How the memory that the configuration allows is shared out among what grows with the traffic.

What the process takes by itself is measured once it has read its configuration and its server list.  Fixed
fractions of the rest bound each thing that others can make grow; the part that is not assigned is for
connections, requests in flight and what the allocator loses to fragmentation.
"""

from __future__ import annotations

from dataclasses import dataclass

from gingerworks.gateway.config import BYTES_PER_MB

DEFAULT_LIMIT_BYTES = 192 * BYTES_PER_MB  # assumed if the configuration names no limit
MIN_FREE_BYTES = 2 * BYTES_PER_MB  # shared out even if the process takes nearly all by itself

INPUT_FRACTION = 0.2  # requests that clients are sending or have sent and that are not answered yet
RECEIVED_FRACTION = 0.1  # answers that servers are sending
UNSENT_FRACTION = 0.1  # answers that clients have not read, as far as the kernel does not hold them
CUSTOMER_FRACTION = 0.15
ID_FRACTION = 0.15

MAX_INPUT_BYTES = 64 * BYTES_PER_MB
MAX_ANSWER_BYTES = 64 * BYTES_PER_MB
MAX_CUSTOMERS = 20_000
MAX_REMEMBERED_IDS = 50_000

CUSTOMER_BYTES = 1800  # memory for what the decisions keep of one customer
ID_BYTES = 90  # memory for one remembered correlation id


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The bounds of what others can make grow."""

    input_bytes: int
    received_bytes: int
    unsent_bytes: int
    customers: int
    remembered_ids: int

    @classmethod
    def within(cls, limit_bytes: int | None, used_bytes: int) -> MemoryBudget:
        """The bounds for a process that may take ``limit_bytes`` and has taken ``used_bytes`` by itself."""
        limit_bytes = DEFAULT_LIMIT_BYTES if limit_bytes is None else limit_bytes
        free_bytes = max(MIN_FREE_BYTES, limit_bytes - used_bytes)
        return cls(
            input_bytes=min(MAX_INPUT_BYTES, int(INPUT_FRACTION * free_bytes)),
            received_bytes=min(MAX_ANSWER_BYTES, int(RECEIVED_FRACTION * free_bytes)),
            unsent_bytes=min(MAX_ANSWER_BYTES, int(UNSENT_FRACTION * free_bytes)),
            customers=min(MAX_CUSTOMERS, int(CUSTOMER_FRACTION * free_bytes / CUSTOMER_BYTES)),
            remembered_ids=min(MAX_REMEMBERED_IDS, int(ID_FRACTION * free_bytes / ID_BYTES)),
        )
