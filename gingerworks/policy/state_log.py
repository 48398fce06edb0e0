"""Which states worth an operator's notice have begun or ended since they were last logged."""

from __future__ import annotations

from gingerworks import interface
from gingerworks.policy.load_shedding import LoadShedder
from gingerworks.policy.quotas import Quotas
from gingerworks.policy.servers import Servers

KEEPS_UP_FRACTION = 0.5  # the counter keeps up if readings are taken for this fraction of uncertain requests
OVERLOADED_RATIO = 1.2  # the load ratio from which overload is logged


class StateLog:
    """Remembers which states were logged as begun and not yet as ended."""

    def __init__(self) -> None:
        self._reported: set[str] = set()

    def changes(
        self, servers: Servers, quotas: Quotas, shedder: LoadShedder, now: int
    ) -> list[interface.Action]:
        """The lines to log now."""
        phases = [backend.entry.phase for backend in servers.backends.values()]
        states = {
            "no server is ready; refusing all requests": interface.Phase.READY not in phases,
            "counter is late or silent; calling it less often": quotas.read_fraction < KEEPS_UP_FRACTION,
            "servers are overloaded; refusing the least worth": shedder.load_ratio(now) > OVERLOADED_RATIO,
        }
        lines: list[interface.Action] = []
        for text, holds in states.items():
            if holds != (text in self._reported):
                self._reported ^= {text}
                lines.append(interface.Log(text if holds else f"ended: {text}"))
        return lines
