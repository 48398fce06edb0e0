"""Adapter between the simulator and the decisions: runs one ``Policy`` for each simulated gateway (instance).

The simulator sends batches of lines to standard input: a ``BATCH`` header with the time, then events, after a
``SELECT`` of the instance that they are for, then ``EOF_BATCH``.  The adapter passes them to the instances,
writes the actions to standard output and ends its reply to a batch with ``OK``.  If an instance raises an
exception, it reports ``GIVE_IN`` and skips the rest of the batch; after a malformed line it exits.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from gingerworks import interface, wire
from gingerworks.policy import Policy


class Host:
    """The simulated gateways, called instances, each with a ``Policy`` of its own.

    ``reply_to`` handles one batch, which is all lines that the simulator sends for one moment of its time: it
    passes the events to the instances that they are for and collects the actions of these.
    """

    def __init__(self) -> None:
        self._policies: dict[int, Policy] = {}
        self._events: dict[int, list[interface.Event]] = {}
        self._instance: int | None = None
        self._end_was_read = False

    def reply_to(self, header: wire.Fields, lines: Iterator[str]) -> list[str]:
        """The lines of the reply to one batch, given its header and an iterator over the lines after it."""
        now = header.integer("sim-time-ns", "0")
        reply: list[str] = []
        self._events, self._instance, self._end_was_read = {}, None, False
        try:
            self._read_lines(now, lines)
            for instance in self._events:
                self._append_actions(now, instance, reply)
        except wire.WireError:
            raise
        except Exception as error:
            if self._instance is not None and f"SPEAKING i={self._instance}" not in reply:
                reply.append(f"SPEAKING i={self._instance}")
            reply.append(f"GIVE_IN what={wire.one_line(f'{type(error).__name__}: {error}')}")
            while not self._end_was_read and next(lines, "EOF_BATCH") != "EOF_BATCH":
                pass  # the rest of the failed batch must be read too
        reply.append(f"OK frame={header.integer('frame')}")
        return reply

    def _read_lines(self, now: int, lines: Iterator[str]) -> None:
        for line in lines:
            word, *pairs = line.split(" ")
            if word == "EOF_BATCH":
                self._end_was_read = True
                return
            self._handle_line(now, word, pairs, lines)
        raise wire.WireError("the batch has no end")

    def _handle_line(self, now: int, word: str, pairs: list[str], lines: Iterator[str]) -> None:
        if word == "SELECT":
            self._instance = wire.Fields(pairs).integer("i")
        elif word == "BATCH" or word == "ROW":
            raise wire.WireError(f"{word} out of place")
        elif self._instance is None:
            raise wire.WireError(f"{word} before any SELECT")
        elif word == "CREATE":
            fields = wire.Fields(pairs)
            self._policies[self._instance] = Policy(
                fields.integer("entropy"), wire.settings_from(fields), now
            )
            self._events[self._instance] = []
        elif word == "TEARDOWN":
            self._policies.pop(self._instance, None)
            self._events.pop(self._instance, None)
        elif word == "BACKENDS_CHANGED":
            self._handle_list(wire.Fields(pairs), lines)
        elif word in wire.EVENT_WORDS:
            self._events.setdefault(self._instance, []).append(wire.event_from(word, wire.Fields(pairs)))

    def _handle_list(self, fields: wire.Fields, lines: Iterator[str]) -> None:
        rows = []
        for _ in range(fields.integer("records", "0")):
            word, *pairs = next(lines, "").split(" ")
            if word != "ROW":
                raise wire.WireError("a ROW is missing")
            rows.append(wire.server_from(wire.Fields(pairs)))
        assert self._instance is not None
        event = interface.ServersChanged(wire.mode_from(fields), tuple(rows))
        self._events.setdefault(self._instance, []).append(event)

    def _append_actions(self, now: int, instance: int, reply: list[str]) -> None:
        self._instance = instance
        policy = self._policies.get(instance)
        if policy is None:
            return
        actions = policy.handle(now, self._events[instance])
        if actions:
            reply.append(f"SPEAKING i={instance}")
            reply.extend(wire.action_line(action) for action in actions)


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer batches until the input ends.  The exit code is 0, or 2 after a malformed line."""
    line_number = 0

    def numbered_lines() -> Iterator[str]:
        nonlocal line_number
        for line in source:
            line_number += 1
            yield line.rstrip("\r\n")

    lines, host = numbered_lines(), Host()
    try:
        for line in lines:
            word, *pairs = line.split(" ")
            if word != "BATCH":
                raise wire.WireError(f"BATCH expected, not '{word}'")
            sink.write("\n".join(host.reply_to(wire.Fields(pairs), lines)) + "\n")
            sink.flush()
    except wire.WireError as error:
        print(f"line {line_number}: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Answer batches from standard input on standard output."""
    return serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
