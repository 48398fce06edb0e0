"""The interface of ``Policy``, which makes a gateway's decisions: its settings, events and actions.

The caller passes events to ``Policy.handle`` and carries out the actions that it returns.  This module only
defines the types; it makes no decision.  Times are whole nanoseconds of the caller's clock, which only
advances.  Ids and names are opaque.  A ``Policy`` is single-threaded: one call of ``handle`` at a time, one
instance for each gateway.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing, out of range or contradicts another; the message and ``setting`` name it."""

    def __init__(self, text: str, setting: str = "") -> None:
        super().__init__(text)
        self.setting = setting


class Effect(Enum):
    """What happens if a request runs more than once."""

    SAFE = "safe to repeat"
    KEYED = "repeats are dropped within a group of servers during a time window"
    UNSAFE = "must never run twice"


class DedupGroup(Enum):
    """The servers among which repeats of a keyed request are recognised and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt (one sending of a request to a server), a probe or a counter call ended.

    ``DELIVERED`` means that an answer was received.
    """

    DELIVERED = "served"
    ERROR = "the server failed; it may have run"
    SHED = "rejected before it ran"
    EXPIRED = "no answer in time; it may have run"
    DIAL_FAILED = "no connection was made; it never ran"
    DROPPED = "the connection broke; it may have run"
    CANCELLED = "cancelled; it may have run"
    UNUSED = "never sent"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Status.SHED, Status.DIAL_FAILED, Status.UNUSED)


class Phase(Enum):
    """State of a server in the server list; only a ready server gets new attempts."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListMode(Enum):
    """What a ``ServersChanged`` event contains."""

    DELTA = "changed entries only"
    FULL = "the whole list"
    CACHED = "the whole list as last known, possibly outdated"
    FAILED = "a call or the subscription failed; the previous list remains valid"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.  ``late_worth`` and ``aim_stretch`` are not used by any decision."""

    name: str
    effect: Effect
    dedup_group: DedupGroup  # for keyed requests: the servers that drop repeats of one another's requests
    dedup_window_ns: int  # for keyed requests: how long after the first run repeats are dropped
    aim_ns: int  # an answer is worth the most if it comes within this time after the request's arrival
    deadline_ns: int  # an answer must come within this time after the request's arrival
    worth: float  # worth of an answer, before it is multiplied by the plan's price and the request's units
    late_worth: float
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan: the quota of each of its customers over all gateways together.

    The quota is a store of ``burst`` units that is refilled at ``rate`` units a second.  The ceiling is a
    second store of this kind: a hard limit above the quota.  A rate of 0 means that there is no quota, or no
    ceiling.  ``max_out`` is not used by any decision.
    """

    name: str
    rate: float
    burst: float
    max_out: int
    price: float  # factor of the worth of each answer to a customer of this plan
    excess_worth: float  # worth of a request served beyond the quota, as a multiple of its worth within it
    overrun_cost: float  # cost of a request served beyond the quota, as a multiple of its worth within it
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float  # units beyond the ceiling that are tolerated


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the operating rules.

    ``drain_grace_ns``, ``fall_ns`` and ``ask_every_ns`` are not used by any decision.
    """

    drain_grace_ns: int
    cold_ns: int  # for this time after its start a server is cold: its capacity still rises to the full one
    start_capacity: float  # share of the full capacity that a server has at its start
    overload_factor: float  # how many times its capacity a cold server may be sent
    fall_ns: int
    ask_every_ns: int


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows.  ``probes`` and ``max_open`` are not used by any decision."""

    max_attempts: int  # most attempts for one request
    hedging: bool  # whether a request may have two attempts in flight
    may_cancel: bool  # whether an attempt may be cancelled
    probes: bool
    may_send_retry_after: bool  # whether a refusal may tell the client when to try again
    max_retry_after_ns: int  # longest delay that a refusal may ask of the client
    max_open: int
    connect_timeout_ns: int = 250_000_000


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a gateway, given at its start.

    ``probe_reports``, ``counter_price``, ``meter_ns``, ``cost_after`` and the ``price_`` fields are not used
    by any decision.
    """

    me: int  # index of this gateway among all gateways, from 0
    gateways: int  # number of gateways
    zone: str  # zone of this gateway
    tick_ns: int  # resolution of the caller's timers
    discovery_on_request: bool  # if so, the server list comes only after a ``Watch`` action
    report_names: tuple[str, ...]  # names of the values to take from the load reports of servers
    probe_reports: bool
    has_counter: bool  # whether there is a counter that all gateways share, see ``Count``
    counter_wait_ns: int  # longest wait for an answer of the shared counter
    counter_price: float
    meter_ns: int
    max_units: float  # limit on the quota units of one request, as sent by the client or billed by a server
    cost_after: bool
    price_probe: float
    price_cross_zone: float
    price_waste: float
    price_late: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    limits: Limits

    def __post_init__(self) -> None:
        """Check the settings: ``SettingsError`` names the first one that is not allowed."""
        checks = (
            (self.gateways >= 1, "gateways"),
            (0 <= self.me < self.gateways, "me"),
            (self.tick_ns > 0, "tick_ns"),
            (bool(self.classes), "classes"),
            (bool(self.plans), "plans"),
            (_has_unique_names(self.classes), "classes.name"),
            (_has_unique_names(self.plans), "plans.name"),
            (self.max_units > 0, "max_units"),
            (self.limits.max_attempts >= 1, "limits.max_attempts"),
            (self.limits.max_retry_after_ns >= 0, "limits.max_retry_after_ns"),
            (self.limits.connect_timeout_ns > 0, "limits.connect_timeout_ns"),
            (self.rules.drain_grace_ns >= 0, "rules.drain_grace_ns"),
            (self.rules.cold_ns >= 0, "rules.cold_ns"),
            (0 < self.rules.start_capacity <= 1, "rules.start_capacity"),
            (self.rules.overload_factor > 0, "rules.overload_factor"),
            (not self.has_counter or self.counter_wait_ns > 0, "counter_wait_ns"),
            (all(0 < c.aim_ns <= c.deadline_ns for c in self.classes), "classes.aim_ns"),
            (all(c.dedup_window_ns >= 0 for c in self.classes), "classes.dedup_window_ns"),
            (all(c.worth >= 0 for c in self.classes), "classes.worth"),
            (all(p.price >= 0 for p in self.plans), "plans.price"),
            (all(p.overrun_cost >= 0 for p in self.plans), "plans.overrun_cost"),
            (all(p.rate >= 0 for p in self.plans), "plans.rate"),
            (all(p.rate == 0 or p.burst > 0 for p in self.plans), "plans.burst"),
            (all(p.ceiling_rate == 0 or p.ceiling_burst > 0 for p in self.plans), "plans.ceiling_burst"),
        )
        for valid, name in checks:
            if not valid:
                raise SettingsError(f"setting {name} is out of range or contradicts another", name)


def _has_unique_names(items: tuple[RequestClass, ...] | tuple[Plan, ...]) -> bool:
    """Whether each item has a name, and no two have the same."""
    names = {item.name for item in items}
    return len(names) == len(items) and "" not in names


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    name: str
    phase: Phase
    zone: str = ""
    cell: int = 0  # number of the group of servers within the zone
    started_ns: int = 0  # when the process started; 0 if unknown or long ago: the server counts as warm
    size: float = 1.0  # relative capacity; not used by any decision


@dataclass(frozen=True, slots=True)
class ServersChanged:
    """The server list or changes to it, as ``mode`` says."""

    mode: ListMode
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a client; it must get exactly one final answer before ``ttl_ns`` has passed.

    A request with no time left is refused.  An id that is already in flight, an unknown class and an unknown
    plan are errors of the caller and raise ``ValueError``.
    """

    id: int
    class_name: str
    plan: str
    customer: str
    entries: int  # how many gateways this customer's requests are spread over
    ttl_ns: int
    units: float  # units of use that the request takes from the customer's quota
    is_retry: bool = False  # the client retries an earlier request


@dataclass(frozen=True, slots=True)
class Started:
    """The answer to a request has begun to stream, so its deadline no longer applies.

    The event is ignored if the id is unknown.
    """

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.  The event is ignored if the attempt is not in flight.

    ``used_percent`` and ``report`` are not used by any decision.
    """

    id: int
    attempt: int
    status: Status
    elapsed_ns: int  # time from the start of the attempt to its end
    terminal: bool  # whether this outcome gave the request its final answer
    used_percent: float | None = None
    billed_units: float | None = None  # units that the server billed in place of ``Request.units``, if any
    report: tuple[tuple[str, float], ...] = ()  # the server's load report: names and values


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client has left, so the request needs no answer any more.  Ignored if the id is unknown."""

    id: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The gateway shuts down: all requests, in flight or new, must be answered by ``answers_due_ns``."""

    answers_due_ns: int  # a moment on the caller's clock


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by ``Wake`` has expired.  A timer that was not requested is harmless."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """Result of a ``Probe``.  It is ignored, as no probes are requested now."""

    server: str
    status: Status
    elapsed_ns: int
    report: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Counted:
    """Answer to one ``Count``, which gets exactly one.  Ignored if no call for the name is in flight."""

    name: int
    status: Status
    total: float  # the shared count after the amount was added; 0 if the counter gave no answer
    elapsed_ns: int


Event = (
    ServersChanged
    | Request
    | Started
    | Outcome
    | RequestCancelled
    | ShutdownStarted
    | Timer
    | Probed
    | Counted
)


@dataclass(frozen=True, slots=True)
class Assign:
    """Begin an attempt on a server; the attempts of a request are numbered 0, 1, 2 ... in this order."""

    id: int
    server: str
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; its ``Outcome`` is still expected."""

    id: int
    attempt: int


class DeclineReason(Enum):
    """Why a request is refused; the values are the words of the log."""

    UNSPECIFIED = "no reason given"
    NO_TIME_LEFT = "no time left"
    SHUTDOWN = "the shutdown leaves too little time"
    QUOTA = "beyond the quota"
    CEILING = "beyond the ceiling"
    LOAD = "the servers are overloaded"
    NO_SERVER = "no server can take it"
    NOT_SERVED = "no attempt was served, and none may have run"


@dataclass(frozen=True, slots=True)
class Decline:
    """Final answer: refused.  It is safe for the client to try again.  ``reason`` is for logs only."""

    id: int
    retry_after_ns: int
    reason: DeclineReason = field(default=DeclineReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed.  The request may have run or not."""

    id: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Request a ``Timer`` event after this time."""

    after_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server; a ``Probed`` event brings the result."""

    server: str


@dataclass(frozen=True, slots=True)
class Count:
    """Add an amount to a shared count, a number that the gateways' counter keeps under a name.

    A ``Counted`` event brings the total.
    """

    name: int
    amount: float  # with 0 the count is only read
    ttl_ns: int  # lifetime of the count, if this call creates it


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to the server list; ``ServersChanged`` events bring the list and later changes to it."""


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operator."""

    text: str


Action = Assign | CancelAttempt | Decline | Fail | Wake | Probe | Count | Watch | Log
