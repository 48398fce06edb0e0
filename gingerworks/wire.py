"""Translation between the simulator's protocol and the types of ``interface``; it makes no decision.

A line of the protocol is a word, such as ``REQUEST``, followed by ``name=value`` pairs; all are separated by
spaces.  A setting is named by a path, such as ``limits.max-open``.  The gateway's configuration file has the
same paths, so that ``settings_from`` reads its settings too.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from gingerworks import interface

_T = TypeVar("_T")

EFFECTS = {
    "read_like": interface.Effect.SAFE,
    "idempotency_key": interface.Effect.KEYED,
    "non_idempotent": interface.Effect.UNSAFE,
}
GROUPS = {group.value: group for group in interface.DedupGroup}
STATUSES = {
    "delivered": interface.Status.DELIVERED,
    "app_error": interface.Status.ERROR,
    "shed": interface.Status.SHED,
    "expired": interface.Status.EXPIRED,
    "dial_failed": interface.Status.DIAL_FAILED,
    "dropped": interface.Status.DROPPED,
    "revoked": interface.Status.CANCELLED,
    "unused": interface.Status.UNUSED,
}
PHASES = {0: interface.Phase.GONE, 1: interface.Phase.READY, 2: interface.Phase.DRAINING}
# Lines that begin with one of these words are events; ``event_from`` translates each into its type.
EVENT_WORDS = frozenset(("REQUEST", "REPLY", "LAPSED", "REMINDER", "STARTED", "ADDED", "CHECK_RESULT"))
MODES = {
    0: interface.ListMode.FAILED,
    1: interface.ListMode.DELTA,
    2: interface.ListMode.FULL,
    4: interface.ListMode.CACHED,
}

# For each setting that ``Settings`` checks, by its name there: its path in the configuration file, which
# error messages show.  A setting that is missing here has the same name in both.
FILE_NAMES = {
    "gateways": "peers-total",
    "tick_ns": "tick-ns",
    "plans": "tariffs",
    "max_units": "specifics.max-units",
    "counter_wait_ns": "specifics.count-wait-ns",
    "limits.max_attempts": "limits.attempts-cap",
    "limits.max_retry_after_ns": "limits.max-retry-after-ns",
    "limits.connect_timeout_ns": "limits.connect-timeout-ns",
    "rules.drain_grace_ns": "rules.drain-grace-ns",
    "rules.cold_ns": "rules.cold-ns",
    "rules.start_capacity": "rules.start-capacity",
    "rules.overload_factor": "rules.overload-factor",
    "classes.dedup_window_ns": "classes.window-ns",
    "classes.aim_ns": "classes.on-time-ns and hard-limit-ns",
    "plans.name": "tariffs.name",
    "plans.price": "tariffs.price",
    "plans.overrun_cost": "tariffs.overrun-cost",
    "plans.rate": "tariffs.units-per-s",
    "plans.burst": "tariffs.most-at-once",
    "plans.ceiling_burst": "tariffs.ceiling-burst",
}
# An error message shows at most so many characters of a wrong value: enough to find it, and the message stays
# one plain line.
MAX_SHOWN_CHARS = 40


class WireError(ValueError):
    """A line or a field does not conform to the protocol; the message says how."""


class Fields:
    """The ``name=value`` pairs of one line."""

    def __init__(self, parts: Iterable[str]) -> None:
        self._values: dict[str, str] = {}
        for part in parts:
            name, equals, value = part.partition("=")
            if not equals:
                raise WireError(f"'{part}' is not name=value")
            self._values[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        """A value as text; it must be there unless ``default`` is given."""
        value = self._values.get(name, default)
        if value is None:
            raise WireError(f"field {name} is missing")
        return value

    def number(self, name: str, default: str | None = None) -> float:
        """A value that must be a finite number."""
        text = self.text(name, default)
        try:
            value = float(text)
        except ValueError:
            raise WireError(f"field {name}: '{_truncated(text)}' is not a number") from None
        if not -1e300 < value < 1e300:
            raise WireError(f"field {name}: '{_truncated(text)}' is not a finite number")
        return value

    def integer(self, name: str, default: str | None = None) -> int:
        """A value that must be an integer."""
        text = self.text(name, default)
        try:
            return int(text)
        except ValueError:
            raise WireError(f"field {name}: '{_truncated(text)}' is not a whole number") from None

    def flag(self, name: str) -> bool:
        """A boolean; a missing one is false."""
        return self.text(name, "0") in ("1", "true")

    def choice(self, name: str, table: dict[str, _T], default: str | None = None) -> _T:
        """The entry of ``table`` for a value, which must be one of its keys."""
        text = self.text(name, default)
        if text not in table:
            raise WireError(f"field {name}: '{_truncated(text)}' is not known")
        return table[text]

    def report(self) -> tuple[tuple[str, float], ...]:
        """The load report: comma-separated ``name:number`` pairs; other items are skipped."""
        pairs = []
        for item in self.text("feedback", "").split(","):
            name, _, value = item.partition(":")
            try:
                pairs.append((name, float(value)))
            except ValueError:
                continue
        return tuple(pairs)


def settings_from(fields: Fields) -> interface.Settings:
    """The settings of a start message; ``SettingsError`` if one is missing, malformed or not allowed."""
    try:
        return _settings(fields)
    except WireError as error:
        raise interface.SettingsError(f"settings: {error}") from None
    except interface.SettingsError as error:
        # The reader of the message knows the names in the configuration file only.
        name = FILE_NAMES.get(error.setting, error.setting)
        raise interface.SettingsError(
            f"setting {name} is out of range or contradicts another", name
        ) from None


def _truncated(text: str) -> str:
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


def _settings(fields: Fields) -> interface.Settings:
    stat_names = fields.text("stats.names", "")
    return interface.Settings(
        me=fields.integer("me"),
        gateways=fields.integer("peers-total"),
        zone=fields.text("locality", ""),
        tick_ns=fields.integer("tick-ns"),
        discovery_on_request=fields.text("discovery", "pushed") == "on_request",
        report_names=tuple(name for name in stat_names.split(",") if name),
        probe_reports=fields.text("stats.source", "none") == "probe",
        has_counter=fields.flag("specifics.has-counter"),
        counter_wait_ns=fields.integer("specifics.count-wait-ns", "0"),
        counter_price=fields.number("specifics.count-fee", "0"),
        meter_ns=fields.integer("specifics.metering-ns", "0"),
        max_units=fields.number("specifics.max-units"),
        cost_after=fields.flag("specifics.cost-after"),
        price_probe=fields.number("prices.probe", "0"),
        price_cross_zone=fields.number("prices.cross-zone", "0"),
        price_waste=fields.number("prices.waste", "0"),
        price_late=fields.number("prices.late-fail", "0"),
        classes=tuple(
            _request_class(fields, f"classes.{k}.") for k in range(fields.integer("classes.count"))
        ),
        plans=tuple(_plan(fields, f"tariffs.{k}.") for k in range(fields.integer("tariffs.count"))),
        rules=interface.Rules(
            drain_grace_ns=fields.integer("rules.drain-grace-ns"),
            cold_ns=fields.integer("rules.cold-ns"),
            start_capacity=fields.number("rules.start-capacity"),
            overload_factor=fields.number("rules.overload-factor"),
            fall_ns=fields.integer("rules.fall-ns"),
            ask_every_ns=fields.integer("rules.ask-every-ns", "0"),
        ),
        limits=interface.Limits(
            max_attempts=fields.integer("limits.attempts-cap"),
            hedging=fields.flag("limits.second-copies"),
            may_cancel=fields.flag("limits.may-cancel"),
            probes=fields.flag("limits.probes"),
            may_send_retry_after=fields.flag("limits.retry-after"),
            max_retry_after_ns=fields.integer("limits.max-retry-after-ns", "0"),
            max_open=fields.integer("limits.max-open", "0"),
            connect_timeout_ns=fields.integer("limits.connect-timeout-ns", "250000000"),
        ),
    )


def _request_class(fields: Fields, prefix: str) -> interface.RequestClass:
    return interface.RequestClass(
        name=fields.text(prefix + "name"),
        effect=fields.choice(prefix + "effect", EFFECTS),
        dedup_group=fields.choice(prefix + "dedup-scope", GROUPS, "cell"),
        dedup_window_ns=fields.integer(prefix + "window-ns", "0"),
        aim_ns=fields.integer(prefix + "on-time-ns"),
        deadline_ns=fields.integer(prefix + "hard-limit-ns"),
        worth=fields.number(prefix + "worth"),
        late_worth=fields.number(prefix + "late-value", "0"),
        aim_stretch=fields.number(prefix + "aim-stretch", "0"),
    )


def _plan(fields: Fields, prefix: str) -> interface.Plan:
    return interface.Plan(
        name=fields.text(prefix + "name"),
        rate=fields.number(prefix + "units-per-s"),
        burst=fields.number(prefix + "most-at-once"),
        max_out=fields.integer(prefix + "max-out", "0"),
        price=fields.number(prefix + "price", "1"),
        excess_worth=fields.number(prefix + "excess-worth", "0"),
        overrun_cost=fields.number(prefix + "overrun-cost", "0"),
        ceiling_rate=fields.number(prefix + "ceiling-rate", "0"),
        ceiling_burst=fields.number(prefix + "ceiling-burst", "0"),
        ceiling_slack=fields.number(prefix + "cap-slack", "0"),
    )


def server_from(fields: Fields) -> interface.Server:
    """The server in one ``ROW`` of a server list."""
    phase = fields.integer("phase")
    if phase not in PHASES:
        raise WireError(f"field phase: '{phase}' is not known")
    return interface.Server(
        name=fields.text("server"),
        phase=PHASES[phase],
        zone=fields.text("zone", ""),
        cell=fields.integer("block", "0"),
        started_ns=fields.integer("online-since-ns", "0"),
        size=fields.number("size", "1"),
    )


def mode_from(fields: Fields) -> interface.ListMode:
    """The mode of a ``BACKENDS_CHANGED`` line."""
    mode = fields.integer("mode")
    if mode not in MODES:
        raise WireError(f"field mode: '{mode}' is not known")
    return MODES[mode]


def event_from(word: str, fields: Fields) -> interface.Event:
    """The event of a line whose word is in ``EVENT_WORDS``."""
    if word == "REQUEST":
        return interface.Request(
            id=fields.integer("op-id"),
            class_name=fields.text("qos"),
            plan=fields.text("terms"),
            customer=fields.text("caller"),
            entries=fields.integer("n-entries", "1"),
            ttl_ns=fields.integer("ttl-ns"),
            units=fields.number("quota-units", "1"),
            is_retry=fields.flag("is-retry"),
        )
    if word == "REPLY":
        used, billed = fields.number("used", "0"), fields.number("billed", "0")
        return interface.Outcome(
            id=fields.integer("op-id"),
            attempt=fields.integer("go", "0"),
            status=fields.choice("status", STATUSES),
            elapsed_ns=fields.integer("cost-time-ns", "0"),
            terminal=fields.flag("terminal"),
            used_percent=used - 1 if used > 0 else None,
            billed_units=billed if billed > 0 else None,
            report=fields.report(),
        )
    if word == "LAPSED":
        return interface.RequestCancelled(fields.integer("op-id"))
    if word == "REMINDER":
        return interface.Timer(fields.integer("name", "0"))
    if word == "STARTED":
        return interface.Started(fields.integer("op-id"), fields.integer("go", "0"))
    if word == "ADDED":
        return interface.Counted(
            name=fields.integer("tally-id"),
            status=fields.choice("status", STATUSES),
            total=fields.number("level", "0"),
            elapsed_ns=fields.integer("cost-time-ns", "0"),
        )
    return interface.Probed(
        server=fields.text("server"),
        status=fields.choice("status", STATUSES),
        elapsed_ns=fields.integer("cost-time-ns", "0"),
        report=fields.report(),
    )


def action_line(action: interface.Action) -> str:
    """The line for an action."""
    return FORMATS[type(action)](action)


def one_line(text: str) -> str:
    """Text with each run of whitespace, line breaks too, replaced by one space, as the protocol requires."""
    return " ".join(text.split())


def _count_line(action: interface.Count) -> str:
    return f"POST_AMOUNT qty={action.amount:.7g} tally-id={action.name} keep-for-ns={action.ttl_ns}"


FORMATS: dict[type, Callable[[Any], str]] = {
    interface.Assign: lambda a: f"ASSIGN op-id={a.id} server={a.server} try-for-ns={a.timeout_ns}",
    interface.CancelAttempt: lambda a: f"REVOKE op-id={a.id} go={a.attempt}",
    interface.Decline: lambda a: f"DECLINE op-id={a.id} retry-after-ns={a.retry_after_ns}",
    interface.Fail: lambda a: f"LOSE op-id={a.id}",
    interface.Wake: lambda a: f"SLEEP sleep-for-ns={a.after_ns} name={a.token}",
    interface.Probe: lambda a: f"TOUCH server={a.server}",
    interface.Count: _count_line,
    interface.Watch: lambda a: "TAIL enable=1",
    interface.Log: lambda a: f"DEBUG what={one_line(a.text)}",
}
