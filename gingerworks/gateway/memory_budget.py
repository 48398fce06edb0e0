"""How the memory that the configuration allows is shared out among what grows with the traffic.

What the process takes by itself is measured once it has read its configuration.  Fixed fractions of the
rest, less what the listed servers will take, bound each thing that others can make grow.  Together they are
a little more than the whole, as all of them are never at their bounds at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from gingerworks.gateway.config import BYTES_PER_MB

DEFAULT_LIMIT_BYTES = 192 * BYTES_PER_MB  # assumed if the configuration names no limit
MIN_FREE_BYTES = 2 * BYTES_PER_MB  # shared out even if the process takes nearly all by itself

SHARED_FRACTION = 0.9  # of what is unused; the rest is for what the allocator loses to fragmentation
INPUT_FRACTION = 0.15  # requests that clients are sending or have sent and that are not answered yet
RECEIVED_FRACTION = 0.1  # answers that servers are sending
UNSENT_FRACTION = 0.1  # answers that clients have not read, as far as the kernel does not hold them
CUSTOMER_FRACTION = 0.12
ID_FRACTION = 0.12

CONNECTION_FRACTION = 0.45  # client connections, each with a request in flight

MAX_INPUT_BYTES = 64 * BYTES_PER_MB
MAX_ANSWER_BYTES = 64 * BYTES_PER_MB
MAX_CUSTOMERS = 20_000
MAX_REMEMBERED_IDS = 50_000

SERVER_BYTES = 1300  # memory for what is kept of one listed server
CONNECTION_BYTES = 7200  # memory for a client connection, its request in flight and the connection for that
CUSTOMER_BYTES = 1800  # memory for what the decisions keep of one customer
ID_BYTES = 90  # memory for one remembered correlation id


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The bounds of what others can make grow."""

    client_connections: int
    input_bytes: int
    received_bytes: int
    unsent_bytes: int
    customers: int
    remembered_ids: int

    @classmethod
    def within(cls, limit_bytes: int | None, used_bytes: int, servers: int = 0) -> MemoryBudget:
        """The bounds for a process that may take ``limit_bytes`` and has taken ``used_bytes`` by itself.

        ``servers`` is the number of servers that it is about to list.
        """
        limit_bytes = DEFAULT_LIMIT_BYTES if limit_bytes is None else limit_bytes
        unused_bytes = limit_bytes - used_bytes - SERVER_BYTES * servers
        free_bytes = max(MIN_FREE_BYTES, int(SHARED_FRACTION * unused_bytes))
        return cls(
            client_connections=int(CONNECTION_FRACTION * free_bytes / CONNECTION_BYTES),
            input_bytes=min(MAX_INPUT_BYTES, int(INPUT_FRACTION * free_bytes)),
            received_bytes=min(MAX_ANSWER_BYTES, int(RECEIVED_FRACTION * free_bytes)),
            unsent_bytes=min(MAX_ANSWER_BYTES, int(UNSENT_FRACTION * free_bytes)),
            customers=min(MAX_CUSTOMERS, int(CUSTOMER_FRACTION * free_bytes / CUSTOMER_BYTES)),
            remembered_ids=min(MAX_REMEMBERED_IDS, int(ID_FRACTION * free_bytes / ID_BYTES)),
        )
