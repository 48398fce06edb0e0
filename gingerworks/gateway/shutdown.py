"""The graceful shutdown: its phases, and the times by which requests are answered and the process ends.

The supervisor sends SIGKILL a known time after SIGTERM, and a request that is still open then is lost.  So
all times are fixed at the moment of SIGTERM, from the settings and on the gateway's own clock.  This module
keeps the state and computes the times; the front end closes connections and sets the timers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from gingerworks import interface
from gingerworks.gateway import clock

# The supervisor sends SIGKILL no sooner after SIGTERM than the longest deadline of the request classes, of
# which it counts at most MAX_COUNTED_DEADLINE_NS, plus KILL_DELAY_NS.
MAX_COUNTED_DEADLINE_NS = 3 * clock.NS_PER_S
KILL_DELAY_NS = 700 * clock.NS_PER_MS
STALL_ALLOWANCE_NS = 150 * clock.NS_PER_MS  # a busy machine may delay the write of an answer by this much
EXIT_MARGIN_NS = 100 * clock.NS_PER_MS  # the time to exit and close all sockets before SIGKILL comes
QUIET_PERIOD_NS = 600 * clock.NS_PER_MS  # after this long without a new connection, no more are expected
MAX_ACCEPT_NS = 2 * clock.NS_PER_S  # the longest that new connections are accepted after SIGTERM


class ShutdownPhase(Enum):
    """How far the shutdown has got."""

    SERVING = "no SIGTERM has come"
    ACCEPTING = "new connections are still accepted, idle ones are closed"
    DRAINING = "the listener is closed, open requests are answered"
    CLOSING = "all answers are due: whatever still arrives is refused at once"
    FINISHED = "nothing is open any more, or the time is over: the process exits"


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The moments of one shutdown, in nanoseconds of the gateway's clock."""

    started_at_ns: int
    accept_until_ns: int  # new connections are accepted until this moment
    answers_due_ns: int  # every request must have its answer by this moment
    exit_due_ns: int  # the process must begin to exit by this moment

    @classmethod
    def starting_at(cls, started_at_ns: int, classes: Iterable[interface.RequestClass]) -> ShutdownSchedule:
        """The schedule of a shutdown that starts at this time, for requests of these classes."""
        longest_deadline_ns = min(
            MAX_COUNTED_DEADLINE_NS, max(request_class.deadline_ns for request_class in classes)
        )
        exit_due_ns = started_at_ns + longest_deadline_ns + KILL_DELAY_NS - EXIT_MARGIN_NS
        answers_due_ns = exit_due_ns - STALL_ALLOWANCE_NS
        accept_until_ns = min(started_at_ns + MAX_ACCEPT_NS, answers_due_ns)
        return cls(started_at_ns, accept_until_ns, answers_due_ns, exit_due_ns)


class GracefulShutdown:
    """The state machine of the shutdown; the front end owns it and acts on its phases."""

    def __init__(self, classes: Iterable[interface.RequestClass]) -> None:
        self.phase = ShutdownPhase.SERVING
        self._classes = tuple(classes)
        self._schedule: ShutdownSchedule | None = None
        self._last_accepted_at_ns = 0

    @property
    def started(self) -> bool:
        """Whether SIGTERM has come."""
        return self.phase is not ShutdownPhase.SERVING

    @property
    def schedule(self) -> ShutdownSchedule:
        """The times of this shutdown; only once it has started."""
        assert self._schedule is not None, "the shutdown has not started"
        return self._schedule

    def start(self, now_ns: int) -> ShutdownSchedule:
        """SIGTERM has come for the first time."""
        assert self.phase is ShutdownPhase.SERVING
        self.phase = ShutdownPhase.ACCEPTING
        self._schedule = ShutdownSchedule.starting_at(now_ns, self._classes)
        self._last_accepted_at_ns = now_ns
        return self._schedule

    def connection_accepted(self, now_ns: int) -> None:
        """A new connection was accepted."""
        self._last_accepted_at_ns = now_ns

    def accept_remaining_ns(self, now_ns: int) -> int:
        """How long to wait for new connections; 0 once the listener may be closed."""
        expected_until_ns = min(self._last_accepted_at_ns + QUIET_PERIOD_NS, self.schedule.accept_until_ns)
        return max(0, expected_until_ns - now_ns)

    def listener_closed(self) -> None:
        """No new connection can come any more."""
        if self.phase is ShutdownPhase.ACCEPTING:
            self.phase = ShutdownPhase.DRAINING

    def answers_due(self) -> None:
        """The time by which all requests are answered has come."""
        if self.phase is not ShutdownPhase.FINISHED:
            self.phase = ShutdownPhase.CLOSING

    def finish(self) -> None:
        """Every request is answered and every connection closed, or the process has to exit."""
        self.phase = ShutdownPhase.FINISHED

    def reads_further_requests(self, now_ns: int) -> bool:
        """Whether further requests on open connections are still read, if only to be refused."""
        return now_ns < self.schedule.exit_due_ns
