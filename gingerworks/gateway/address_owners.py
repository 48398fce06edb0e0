"""Finds servers that have gone because another process came up at their address.

An address belongs to one process at a time.  Discovery may tell of a new server at an address before it tells
that the former one there has gone, or never tell the latter.  Work for the former server would then go to the
new process, which has another name, another cell and a cold start.  So the former one counts as gone as soon
as the new one is listed.
"""

from __future__ import annotations

from dataclasses import replace

from gingerworks import interface
from gingerworks.gateway.config import Address
from gingerworks.gateway.server_list import Change, Endpoint

NO_ADDRESS: Address = ("", 0)


class AddressOwners:
    """The listed servers by address, and those that another one has replaced."""

    def __init__(self) -> None:
        self._listed: dict[str, Endpoint] = {}
        self._owners: dict[Address, str] = {}
        self._replaced: dict[str, Endpoint] = {}  # names that lists may still bring, though they have gone

    def resolve(self, change: Change) -> Change:
        """Return the same change with the replaced servers gone."""
        if change.full:
            self._forget_all_but({endpoint.server.name for endpoint in change.endpoints})
        introduced: set[str] = set()
        kept: dict[str, Endpoint] = {}
        gone: dict[str, Endpoint] = {}
        for endpoint in change.endpoints:
            name = endpoint.server.name
            if endpoint.server.phase is interface.Phase.GONE:
                self._unlist(name)
                self._replaced.pop(name, None)
                kept[name] = endpoint
            elif not self._is_still_replaced(endpoint):
                gone.pop(name, None)
                kept[name] = endpoint
                loser = self._list(endpoint, introduced)
                if loser is not None:
                    gone[loser] = self._replace(loser)
                    kept.pop(loser, None)
        if not change.full:
            kept |= gone
        return replace(change, endpoints=tuple(kept.values()))

    def _forget_all_but(self, names: set[str]) -> None:
        for name in self._listed.keys() - names:
            self._unlist(name)
        for name in self._replaced.keys() - names:
            del self._replaced[name]

    def _unlist(self, name: str) -> None:
        endpoint = self._listed.pop(name, None)
        if endpoint is not None and self._owners.get(endpoint.address) == name:
            del self._owners[endpoint.address]

    def _is_still_replaced(self, endpoint: Endpoint) -> bool:
        """Whether an entry is about a process that was replaced, and its successor is still listed."""
        replaced = self._replaced.get(endpoint.server.name)
        if replaced is None:
            return False
        if replaced.process_identity == endpoint.process_identity and endpoint.address in self._owners:
            return True
        del self._replaced[endpoint.server.name]
        return False

    def _list(self, endpoint: Endpoint, introduced: set[str]) -> str | None:
        """List a server; returns the name of the one that has gone because of it, if any.

        ``introduced`` collects the names of processes that this change is the first to tell of.
        """
        name, address = endpoint.server.name, endpoint.address
        previous = self._listed.get(name)
        if previous is None or previous.process_identity != endpoint.process_identity:
            introduced.add(name)
            self._unlist(name)
        self._listed[name] = endpoint
        owner = self._owners.get(address)
        loser = None if owner in (None, name) else self._older(owner, name, introduced)
        if loser != name:
            self._owners[address] = name
        return loser

    def _older(self, one: str | None, other: str, introduced: set[str]) -> str | None:
        """Which of two servers at one address has gone; None if nothing tells them apart."""
        assert one is not None
        one_ns, other_ns = (self._listed[name].server.started_ns for name in (one, other))
        if one_ns and other_ns and one_ns != other_ns:
            return one if one_ns < other_ns else other
        if (one in introduced) != (other in introduced):
            return other if one in introduced else one
        if one_ns != other_ns:
            return one if one_ns < other_ns else other
        return None

    def _replace(self, name: str) -> Endpoint:
        """Take a server from the list, and return the entry that tells that it has gone."""
        endpoint = self._replaced[name] = self._listed.pop(name)
        return Endpoint(replace(endpoint.server, phase=interface.Phase.GONE), NO_ADDRESS)
