"""Drives the decision module: events in, actions carried out, and the state of each request in flight."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.backend import Answer, Attempt, Backends
from gingerworks.gateway.config import Address, Config
from gingerworks.gateway.counter import Counter
from gingerworks.gateway.discovery import Change
from gingerworks.gateway.server_starts import ServerStarts
from gingerworks.policy import Policy

ANSWER_MARGIN_NS = 20 * clock.NS_PER_MS  # of the client's wait: for the way there and back and a busy loop
UNSENT_RETRY_AFTER_NS = 100 * clock.NS_PER_MS  # to come back with a request that was not looked at
ANSWER_MARGIN_SHARE = 0.25  # ... but no more than this part of a short wait

log = logging.getLogger(__name__)


class Client(Protocol):
    """Whoever waits for the answer to a request; told exactly once, unless it left first."""

    def send_answer(self, answer: Answer) -> None:
        """Pass on a server's answer."""

    def send_refusal(self, retry_after_ns: int, sent_on: bool) -> None:
        """Say that trying again is harmless, and when."""

    def send_failure(self) -> None:
        """Say that it failed, with no promise."""

    def has_disconnected(self) -> bool:
        """Whether it has left, also where that was not read yet."""

    def disconnect_may_be_hidden(self) -> bool:
        """Whether it might have left without that being seen, for all that it has sent ahead."""


class InFlightRequest:
    """A request that was taken: whom it is for, what to send on, and its attempts."""

    __slots__ = (
        "attempts",
        "awaits_answer",
        "body",
        "client",
        "deadline_ns",
        "head",
        "may_have_run",
        "open_attempts",
        "request",
    )

    def __init__(
        self, client: Client, request: interface.Request, head: bytes, body: bytes, deadline: int
    ) -> None:
        """``head`` lacks the time left and the empty line."""
        self.client = client
        self.request = request
        self.head = head
        self.body = body
        self.awaits_answer = True  # until it has its final answer or the client has gone
        self.attempts: list[Attempt | None] = []
        self.open_attempts = 0
        self.may_have_run = False  # one of its attempts may have
        self.deadline_ns = deadline  # of the client, or of the shutdown if that is sooner

    def remaining_ns(self) -> int:
        """What is left of the client's time."""
        return self.deadline_ns - clock.now()

    def render(self, left_ns: int) -> bytes:
        """The request as it goes to a server, with the time that the gateway will wait.

        Guards against telling more than the client has left: between the decision and this the process may
        have been held up.
        """
        left = max(min(left_ns, self.remaining_ns()), clock.NS_PER_MS) / clock.NS_PER_S
        return b"%bX-Time-Left: %.3f\r\n\r\n%b" % (self.head, left, self.body)


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A request waits to be given to the module: how much time it has left is told only then."""

    number: int


class Runtime:
    """The only caller of the module."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, backends: Backends) -> None:
        self._loop = loop
        self._config = config
        self._backends = backends
        self._server_starts = ServerStarts()
        self._policy = Policy(config.seed, config.settings, clock.now())
        self._rng = random.Random(config.seed)
        self._classes = {kind.name: kind for kind in config.settings.classes}
        self._in_flight: dict[int, InFlightRequest] = {}
        self._last_request_id = 0
        self._pending_events: list[interface.Event | RequestSubmitted] = []
        self._handling_scheduled = False
        self._answers_due_ns: int | None = None  # from the start of the shutdown on
        # Requests that may be forgotten once the module has been told of their end.
        self._ended_requests: list[int] = []
        self._action_handlers: dict[type, Callable[..., None]] = {
            interface.Assign: self._start_attempt,
            interface.CancelAttempt: self._cancel_attempt,
            interface.Decline: self._answer_refused,
            interface.Fail: self._answer_failed,
            interface.Wake: self._set_timer,
            interface.Count: self._call_counter,
            interface.Watch: lambda action: None,  # the list is always watched
            interface.Log: lambda action: log.warning("%s", action.text),
        }
        self.counter: Counter | None = None
        self.use_counter(config.counter)

    def use_counter(self, address: Address | None) -> None:
        """Make further calls at this counter; those that are out at the former one end there."""
        if self.counter is not None:
            self.counter.retire()
        self.counter = None
        if address is not None:
            wait_ns = self._config.settings.counter_wait_ns
            self.counter = Counter(self._loop, address, wait_ns, self._config.seed, self._post)
            self.counter.connect()

    def close(self) -> None:
        """Let go of the counter."""
        if self.counter is not None:
            self.counter.close()

    def submit(
        self,
        client: Client,
        request: interface.Request,
        head: bytes,
        body: bytes,
        arrived_at: int | None = None,
    ) -> int:
        """A client's request has come whole; the id for ``cancelled`` is returned.

        ``request.id`` is set here, and ``request.ttl_ns`` is what the client stated as the request came.
        """
        self._last_request_id += 1
        number, now = self._last_request_id, clock.now()
        waited = 0 if arrived_at is None else now - arrived_at
        left = min(request.ttl_ns - waited, self._classes[request.class_name].deadline_ns)
        deadline = now + left - int(min(ANSWER_MARGIN_NS, ANSWER_MARGIN_SHARE * max(0, left)))
        if self._answers_due_ns is not None:
            deadline = min(deadline, self._answers_due_ns)
        self._in_flight[number] = InFlightRequest(client, request, head, body, deadline)
        self._post(RequestSubmitted(number))
        return number

    def begin_shutdown(self, answers_due_ns: int) -> None:
        """The gateway shuts down: requests have their answers by then, and no attempt begins later."""
        self._answers_due_ns = answers_due_ns
        for inflight in self._in_flight.values():
            inflight.deadline_ns = min(inflight.deadline_ns, answers_due_ns)
        self._post(interface.ShutdownStarted(answers_due_ns))

    def cancel_request(self, number: int) -> None:
        """The client has gone."""
        inflight = self._in_flight.get(number)
        if inflight is not None and inflight.awaits_answer:
            inflight.awaits_answer = False
            self._ended_requests.append(number)
            self._post(interface.RequestCancelled(number))

    def update_servers(self, change: Change, cached: bool = False) -> None:
        """Discovery, or what was known at the start, tells of servers."""
        change = self._server_starts.corrected(change, cached)
        self._backends.update_servers(change)
        mode = (
            interface.ListMode.CACHED
            if cached
            else interface.ListMode.FULL
            if change.full
            else interface.ListMode.DELTA
        )
        self._post(interface.ServersChanged(mode, tuple(endpoint.server for endpoint in change.endpoints)))

    def _post(self, event: interface.Event | RequestSubmitted) -> None:
        """Queue an event: the module sees all of one turn of the loop at once."""
        self._pending_events.append(event)
        if not self._handling_scheduled:
            self._handling_scheduled = True
            self._loop.call_soon(self._handle_events)

    def _handle_events(self) -> None:
        self._handling_scheduled = False
        now = clock.now()
        events, self._pending_events = self._pending_events, []
        done, self._ended_requests = self._ended_requests, []
        try:
            actions = self._policy.handle(now, [self._current_event(now, event) for event in events])
        except Exception:
            log.exception("the module failed; what was in flight is answered as failed, and it starts anew")
            self._restart_policy()
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                # Guards against one request's fault ending the others.
                log.exception("could not carry out %s", action)
                number = getattr(action, "id", None)
                if number is not None and number in self._in_flight:
                    self._fail_after_error(number, self._in_flight[number])
        # Guards against an attempt that the module asks for before it hears, in that turn, that the client
        # has gone: while the request is still known here, the attempt's end can be told by its right number.
        for number in done:
            inflight = self._in_flight.get(number)
            if inflight is not None and not inflight.awaits_answer and not inflight.open_attempts:
                del self._in_flight[number]

    def _current_event(self, now: int, event: interface.Event | RequestSubmitted) -> interface.Event:
        """The event; a request with the time that is left now, as it may have been queued for long."""
        if not isinstance(event, RequestSubmitted):
            return event
        inflight = self._in_flight[event.number]
        asked = inflight.request
        return interface.Request(
            id=event.number,
            class_name=asked.class_name,
            plan=asked.plan,
            customer=asked.customer,
            entries=asked.entries,
            ttl_ns=inflight.deadline_ns - now,
            units=asked.units,
            is_retry=asked.is_retry,
        )

    def _restart_policy(self) -> None:
        """A module that has raised knows no longer what is out: begin as after a restart."""
        for inflight in list(self._in_flight.values()):
            for attempt in inflight.attempts:
                if attempt is not None:
                    self._backends.abandon(attempt)
            if inflight.awaits_answer:
                inflight.awaits_answer = False
                inflight.client.send_failure()
        self._in_flight.clear()
        self._pending_events.clear()
        self._ended_requests.clear()
        self._policy = Policy(self._rng.getrandbits(64), self._config.settings, clock.now())
        self._post(interface.ServersChanged(interface.ListMode.CACHED, tuple(self._backends.servers())))
        if self._answers_due_ns is not None:
            self._post(interface.ShutdownStarted(self._answers_due_ns))

    def _fail_after_error(self, number: int, inflight: InFlightRequest) -> None:
        if inflight.awaits_answer:
            inflight.awaits_answer = False
            inflight.client.send_failure()
            self._post(interface.RequestCancelled(number))
        # Guards against an attempt that never began being taken for one that is out, here and in the module.
        for attempt_number, attempt in enumerate(inflight.attempts):
            if attempt is not None:
                self._backends.abandon(attempt)
                self._attempt_ended(
                    number, inflight, attempt_number, attempt, interface.Status.CANCELLED, None
                )
        self._ended_requests.append(number)

    def _start_attempt(self, action: interface.Assign) -> None:
        inflight = self._in_flight.get(action.id)
        if inflight is None:
            return None  # lost to a fault: the module was told that its client has gone
        number = len(inflight.attempts)

        def wanted() -> bool:
            return self._may_start(action.id, inflight)

        def ended(attempt: Attempt, status: interface.Status, answer: Answer | None) -> None:
            self._attempt_ended(action.id, inflight, number, attempt, status, answer)

        attempt = Attempt(action.server, action.timeout_ns / clock.NS_PER_S, inflight.render, wanted, ended)
        inflight.attempts.append(attempt)
        inflight.open_attempts += 1
        return self._backends.start(attempt)

    def _may_start(self, number: int, inflight: InFlightRequest) -> bool:
        """Whether an attempt may still begin: the client waits for it, and has time left.

        Guards against sending on what nobody waits for: a close may lie unread behind a turn's other work,
        behind what the client wrote ahead, or behind the request itself where that was accepted late.
        """
        if inflight.awaits_answer and inflight.client.has_disconnected():
            self.cancel_request(number)
        if inflight.awaits_answer and inflight.client.disconnect_may_be_hidden():
            if inflight.open_attempts > 1:
                return False  # another attempt is out and may still be answered
            self._end_unseen(number, inflight)
        return inflight.awaits_answer and inflight.remaining_ns() > 0

    def _end_unseen(self, number: int, inflight: InFlightRequest) -> None:
        """End a request whose client may have left unseen: refused, unless an attempt may have run."""
        limits = self._config.settings.limits
        if inflight.may_have_run:
            inflight.client.send_failure()
        else:
            most = limits.max_retry_after_ns if limits.may_send_retry_after else 0
            inflight.client.send_refusal(min(UNSENT_RETRY_AFTER_NS, most), False)
        self.cancel_request(number)

    def _attempt_ended(
        self,
        request: int,
        inflight: InFlightRequest,
        number: int,
        attempt: Attempt,
        status: interface.Status,
        answer: Answer | None,
    ) -> None:
        inflight.attempts[number] = None
        inflight.open_attempts -= 1
        inflight.may_have_run = inflight.may_have_run or not status.never_ran
        first = status is interface.Status.DELIVERED and inflight.awaits_answer
        if first:
            assert answer is not None
            inflight.awaits_answer = False
            inflight.client.send_answer(answer)
        self._post(
            interface.Outcome(
                id=request,
                attempt=number,
                status=status,
                elapsed_ns=clock.now() - attempt.started_at_ns,
                terminal=not inflight.awaits_answer,
                billed_units=answer.billed
                if answer is not None and status is interface.Status.DELIVERED
                else None,
                report=answer.report if answer is not None else (),
            )
        )
        self._ended_requests.append(request)

    def _cancel_attempt(self, action: interface.CancelAttempt) -> None:
        inflight = self._in_flight.get(action.id)
        attempt = (
            inflight.attempts[action.attempt]
            if inflight and action.attempt < len(inflight.attempts)
            else None
        )
        if attempt is not None:
            self._backends.cancel(attempt)

    def _answer_refused(self, action: interface.Decline) -> None:
        inflight = self._in_flight.get(action.id)
        if inflight is not None and inflight.awaits_answer:
            inflight.awaits_answer = False
            inflight.client.send_refusal(action.retry_after_ns, bool(inflight.attempts))
            self._drop_stalled_connections(action.id, inflight)

    def _answer_failed(self, action: interface.Fail) -> None:
        inflight = self._in_flight.get(action.id)
        if inflight is not None and inflight.awaits_answer:
            inflight.awaits_answer = False
            inflight.client.send_failure()
            self._drop_stalled_connections(action.id, inflight)

    def _drop_stalled_connections(self, number: int, inflight: InFlightRequest) -> None:
        for attempt in inflight.attempts:
            if attempt is not None:
                self._backends.close_idle(attempt.server)  # it did not answer in the client's time
        self._ended_requests.append(number)

    def _set_timer(self, action: interface.Wake) -> None:
        self._fire_timer(clock.now() + action.after_ns, action.token)

    def _fire_timer(self, due: int, token: int) -> None:
        """Guards against timers that ring early: the loop's clock is coarse, and the module sets one once."""
        left = due - clock.now()
        if left <= 0:
            self._post(interface.Timer(token))
        else:
            self._loop.call_later(math.ceil(left / clock.NS_PER_MS) / 1000, self._fire_timer, due, token)

    def _call_counter(self, action: interface.Count) -> None:
        # Guards against a second quota under names that this machine's clock alone gives the counts.
        if self.counter is not None and self._server_starts.clock_check.agrees:
            self.counter.call(action)
        else:
            self._post(interface.Counted(action.name, interface.Status.DIAL_FAILED, 0.0, 0))
