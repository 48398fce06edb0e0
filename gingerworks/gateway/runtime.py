"""Connects the policy to the rest of the gateway.

The policy (``gingerworks.policy``) takes all decisions: it is given events and returns actions.  ``Runtime``
is its only caller.  It collects the events of one turn of the event loop (requests, ends of attempts, changes
of the server list, timers, answers of the shared counter), passes them to the policy together, and carries
out the actions that it returns.  It also keeps the state of each request in flight: its client, what to send
to a server, and its attempts.
"""

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
from gingerworks.gateway.address_owners import AddressOwners
from gingerworks.gateway.answer_parser import Answer
from gingerworks.gateway.backend import Attempt, Backends
from gingerworks.gateway.config import Address, Config
from gingerworks.gateway.counter import CounterClient
from gingerworks.gateway.diagnostics import Diagnostics, Event
from gingerworks.gateway.recent_ids import RecentIds
from gingerworks.gateway.server_list import Change
from gingerworks.gateway.server_starts import ServerStarts
from gingerworks.policy import Policy

# A request is answered this much before its client stops waiting, which leaves time for the network and for
# delays in a busy event loop.
ANSWER_MARGIN_NS = 20 * clock.NS_PER_MS
# A client whose request was not sent to a server is advised to send it again after this long.
UNSENT_RETRY_AFTER_NS = 100 * clock.NS_PER_MS
ANSWER_MARGIN_SHARE = 0.25  # the margin is at most this share of a request's remaining time

log = logging.getLogger(__name__)


class Client(Protocol):
    """The client of a request; it gets exactly one final answer, unless it disconnects first."""

    def send_answer(self, answer: Answer) -> None:
        """Forward a server's answer."""

    def send_refusal(self, retry_after_ns: int, was_attempted: bool) -> None:
        """Refuse the request, which may safely be sent again; ``was_attempted``: an attempt was made."""

    def send_failure(self) -> None:
        """Report that the request failed and may have run."""

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if the event loop has not read that yet."""

    def disconnect_may_be_hidden(self) -> bool:
        """Whether unread data from the client could hide that it has closed its connection."""


class InFlightRequest:
    """A request in flight: its client, what to send to a server, and its attempts."""

    __slots__ = (
        "attempts",
        "awaits_answer",
        "body",
        "client",
        "correlation_id",
        "deadline_ns",
        "head",
        "may_have_run",
        "open_attempts",
        "request",
    )

    def __init__(
        self,
        client: Client,
        request: interface.Request,
        correlation_id: bytes,
        head: bytes,
        body: bytes,
        deadline_ns: int,
    ) -> None:
        """``head`` is the head of the request without ``X-Time-Left`` and the final empty line."""
        self.client = client
        self.correlation_id = correlation_id
        self.request = request
        self.head = head
        self.body = body
        self.awaits_answer = True  # until it has its final answer or the client has disconnected
        self.attempts: list[Attempt | None] = []  # by attempt number; None for each that has ended
        self.open_attempts = 0
        self.may_have_run = False  # whether an attempt of this request may have run on a server
        self.deadline_ns = deadline_ns  # the moment of the client's deadline, or the shutdown's if sooner

    @property
    def identity(self) -> str:
        """The request's correlation id and class, for the log."""
        return f"id {self.correlation_id.decode('ascii', 'replace')}, {self.request.class_name}"

    def remaining_ns(self) -> int:
        """The time until the deadline."""
        return self.deadline_ns - clock.now()

    def render(self, attempt_time_left_ns: int) -> bytes:
        """The bytes to send to a server, with the time that the gateway will wait for the answer.

        That time is limited by the client's deadline, as the process may have been delayed since the policy
        decided on the attempt.
        """
        time_left_s = max(min(attempt_time_left_ns, self.remaining_ns()), clock.NS_PER_MS) / clock.NS_PER_S
        return b"%bX-Time-Left: %.3f\r\n\r\n%b" % (self.head, time_left_s, self.body)


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A request that waits to be passed to the policy; the time that it has left is computed only then."""

    request_id: int


class Runtime:
    """Passes events to the policy, carries out its actions and keeps the requests in flight."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        backends: Backends,
        max_customers: int,
        recent_ids: RecentIds,
        diagnostics: Diagnostics,
    ) -> None:
        """The policy remembers at most ``max_customers`` customers."""
        self._loop = loop
        self._diagnostics = diagnostics
        self._recent_ids = recent_ids
        self._config = config
        self._backends = backends
        self._address_owners = AddressOwners()
        self._server_start_times = ServerStarts()
        self._max_customers = max_customers
        self._policy = Policy(config.seed, config.settings, clock.now(), max_customers)
        self._rng = random.Random(config.seed)
        self._classes = {kind.name: kind for kind in config.settings.classes}
        self._in_flight: dict[int, InFlightRequest] = {}
        self._last_request_id = 0
        self._pending_events: list[interface.Event | RequestSubmitted] = []
        self._handling_scheduled = False
        self._answers_due_ns: int | None = None  # set when the shutdown starts
        # Requests to be removed from ``_in_flight`` once the policy has been informed of their end.
        self._ended_requests: list[int] = []
        self._action_handlers: dict[type, Callable[..., None]] = {
            interface.Assign: self._start_attempt,
            interface.CancelAttempt: self._cancel_attempt,
            interface.Decline: self._refuse_request,
            interface.Fail: self._fail_request,
            interface.Wake: self._set_timer,
            interface.Count: self._call_counter,
            interface.Watch: lambda action: None,  # the gateway always watches the list
            interface.Log: lambda action: log.warning("%s", action.text),
        }
        self.counter: CounterClient | None = None
        self.use_counter(config.counter)

    def use_counter(self, address: Address | None) -> None:
        """Use this shared counter from now on; calls in flight on the former one end there."""
        if self.counter is not None:
            self.counter.retire()
        self.counter = None
        if address is not None:
            answer_timeout_ns = self._config.settings.counter_wait_ns
            self.counter = CounterClient(
                self._loop, address, answer_timeout_ns, self._config.seed, self._post
            )
            self.counter.connect()

    def gauges(self) -> dict[str, int]:
        """What is in use now, for the log."""
        return {"requests": len(self._in_flight), "customers": len(self._policy.quotas.customers)}

    def close(self) -> None:
        """Close the connection to the counter."""
        if self.counter is not None:
            self.counter.close()

    def submit(
        self,
        client: Client,
        request: interface.Request,
        correlation_id: bytes,
        head: bytes,
        body: bytes,
        arrived_at_ns: int | None = None,
    ) -> int:
        """Accept a complete request of a client and return its id, which ``cancel_request`` takes.

        The id in ``request`` is ignored; its ``ttl_ns`` counts from the request's arrival, at
        ``arrived_at_ns``.
        """
        self._last_request_id += 1
        request_id, now = self._last_request_id, clock.now()
        request_age_ns = 0 if arrived_at_ns is None else now - arrived_at_ns
        time_left_ns = min(request.ttl_ns - request_age_ns, self._classes[request.class_name].deadline_ns)
        deadline_ns = (
            now + time_left_ns - int(min(ANSWER_MARGIN_NS, ANSWER_MARGIN_SHARE * max(0, time_left_ns)))
        )
        if self._answers_due_ns is not None:
            deadline_ns = min(deadline_ns, self._answers_due_ns)
        self._in_flight[request_id] = InFlightRequest(
            client, request, correlation_id, head, body, deadline_ns
        )
        self._post(RequestSubmitted(request_id))
        return request_id

    def begin_shutdown(self, answers_due_ns: int) -> None:
        """Limit all deadlines to this time, when a shutdown needs all answers; no attempt starts later."""
        self._answers_due_ns = answers_due_ns
        for inflight in self._in_flight.values():
            inflight.deadline_ns = min(inflight.deadline_ns, answers_due_ns)
        self._post(interface.ShutdownStarted(answers_due_ns))

    def cancel_request(self, request_id: int) -> None:
        """End a request without an answer, as its client has disconnected."""
        inflight = self._in_flight.get(request_id)
        if inflight is not None and inflight.awaits_answer:
            inflight.awaits_answer = False
            self._ended_requests.append(request_id)
            self._post(interface.RequestCancelled(request_id))
            attempted = "after an attempt" if inflight.attempts else "before any attempt"
            self._diagnostics.record(Event.REQUEST_CANCELLED, attempted, inflight.identity)

    def update_servers(self, change: Change, cached: bool = False) -> None:
        """Apply a server list or a change of it, from discovery or (if ``cached``) the configuration."""
        change = self._address_owners.resolve(change)
        change = self._server_start_times.correct_start_times(change, cached)
        self._backends.update_servers(change)
        list_mode = (
            interface.ListMode.CACHED
            if cached
            else interface.ListMode.FULL
            if change.full
            else interface.ListMode.DELTA
        )
        self._post(
            interface.ServersChanged(list_mode, tuple(endpoint.server for endpoint in change.endpoints))
        )

    def _post(self, event: interface.Event | RequestSubmitted) -> None:
        """Queue an event; the policy gets all events of one turn of the event loop at once."""
        self._pending_events.append(event)
        if not self._handling_scheduled:
            self._handling_scheduled = True
            self._loop.call_soon(self._handle_events)

    def _handle_events(self) -> None:
        self._handling_scheduled = False
        now = clock.now()
        events, self._pending_events = self._pending_events, []
        ended_requests, self._ended_requests = self._ended_requests, []
        try:
            actions = self._policy.handle(now, [self._current_event(now, event) for event in events])
        except Exception:
            log.exception("the policy raised an exception; failing all requests in flight and restarting it")
            self._restart_policy()
            return
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                # An error in one request must not end the others.
                log.exception("error while carrying out %s", action)
                request_id = getattr(action, "id", None)
                if request_id is not None and request_id in self._in_flight:
                    self._fail_after_error(request_id, self._in_flight[request_id])
        # Requests that had ended before this turn are removed only now.  The policy may just have asked for
        # an attempt of one, not yet informed that its client has disconnected; the request must still be
        # known here then, so that the end of that attempt is reported with the right number.
        for request_id in ended_requests:
            inflight = self._in_flight.get(request_id)
            if inflight is not None and not inflight.awaits_answer and not inflight.open_attempts:
                del self._in_flight[request_id]
                self._recent_ids.end(inflight.correlation_id, inflight.may_have_run)

    def _current_event(self, now: int, event: interface.Event | RequestSubmitted) -> interface.Event:
        """The event for the policy; a request gets the time that it still has after waiting in the queue."""
        if not isinstance(event, RequestSubmitted):
            return event
        inflight = self._in_flight[event.request_id]
        request = inflight.request
        return interface.Request(
            id=event.request_id,
            class_name=request.class_name,
            plan=request.plan,
            customer=request.customer,
            entries=request.entries,
            ttl_ns=inflight.deadline_ns - now,
            units=request.units,
            is_retry=request.is_retry,
        )

    def _restart_policy(self) -> None:
        """Fail all requests and start a new policy; one that has raised may have lost track of attempts."""
        for inflight in list(self._in_flight.values()):
            for attempt in inflight.attempts:
                if attempt is not None:
                    self._backends.abandon(attempt)
            self._recent_ids.end(inflight.correlation_id, may_have_run=bool(inflight.attempts))
            if inflight.awaits_answer:
                inflight.awaits_answer = False
                inflight.client.send_failure()
                self._diagnostics.record(Event.REQUEST_FAILED, "the policy was restarted", inflight.identity)
        self._in_flight.clear()
        self._pending_events.clear()
        self._ended_requests.clear()
        self._policy = Policy(
            self._rng.getrandbits(64), self._config.settings, clock.now(), self._max_customers
        )
        self._post(interface.ServersChanged(interface.ListMode.CACHED, tuple(self._backends.servers())))
        if self._answers_due_ns is not None:
            self._post(interface.ShutdownStarted(self._answers_due_ns))

    def _fail_after_error(self, request_id: int, inflight: InFlightRequest) -> None:
        """Fail a request one of whose actions raised an exception."""
        if inflight.awaits_answer:
            inflight.awaits_answer = False
            inflight.client.send_failure()
            self._post(interface.RequestCancelled(request_id))
            self._diagnostics.record(Event.REQUEST_FAILED, "an unexpected error", inflight.identity)
        # An attempt that could not be started must not count as one in flight, here or in the policy.
        for attempt_number, attempt in enumerate(inflight.attempts):
            if attempt is not None:
                self._backends.abandon(attempt)
                self._attempt_ended(
                    request_id, inflight, attempt_number, attempt, interface.Status.CANCELLED, None
                )
        self._ended_requests.append(request_id)

    def _start_attempt(self, action: interface.Assign) -> None:
        inflight = self._in_flight.get(action.id)
        if inflight is None:
            return None  # the request failed after an error, and the policy knows that it is cancelled
        attempt_number = len(inflight.attempts)
        if attempt_number:
            in_flight = "while one is in flight" if inflight.open_attempts else "after one has ended"
            identity = f"{inflight.identity}, attempt {attempt_number} at {action.server}"
            self._diagnostics.record(Event.ATTEMPT_REPEATED, in_flight, identity)

        def may_start() -> bool:
            return self._may_start(action.id, inflight)

        def on_end(attempt: Attempt, status: interface.Status, answer: Answer | None) -> None:
            self._attempt_ended(action.id, inflight, attempt_number, attempt, status, answer)

        attempt = Attempt(
            action.server, action.timeout_ns / clock.NS_PER_S, inflight.render, may_start, on_end
        )
        inflight.attempts.append(attempt)
        inflight.open_attempts += 1
        return self._backends.start(attempt)

    def _may_start(self, request_id: int, inflight: InFlightRequest) -> bool:
        """Whether an attempt may still start: the client waits for the answer and has time left.

        A request whose client has disconnected must not be sent to a server.  The disconnect may not have
        been read yet, because of other work in this turn, because the client has sent further data before it,
        or because its connection was accepted late, with both the request and the disconnect already there.
        """
        if inflight.awaits_answer and inflight.client.has_disconnected():
            self.cancel_request(request_id)
        if inflight.awaits_answer and inflight.client.disconnect_may_be_hidden():
            if inflight.open_attempts > 1:
                return False  # another attempt is in flight and may still be answered
            self._end_possibly_disconnected(request_id, inflight)
        return inflight.awaits_answer and inflight.remaining_ns() > 0

    def _end_possibly_disconnected(self, request_id: int, inflight: InFlightRequest) -> None:
        """Refuse a request whose client may have disconnected, or fail it if an attempt may have run."""
        limits = self._config.settings.limits
        if inflight.may_have_run:
            inflight.client.send_failure()
        else:
            max_retry_after_ns = limits.max_retry_after_ns if limits.may_send_retry_after else 0
            inflight.client.send_refusal(min(UNSENT_RETRY_AFTER_NS, max_retry_after_ns), False)
        ended = Event.REQUEST_FAILED if inflight.may_have_run else Event.REQUEST_REFUSED
        self._diagnostics.record(ended, "its client's close may be hidden behind input", inflight.identity)
        self.cancel_request(request_id)

    def _attempt_ended(
        self,
        request_id: int,
        inflight: InFlightRequest,
        attempt_number: int,
        attempt: Attempt,
        status: interface.Status,
        answer: Answer | None,
    ) -> None:
        """Report the end of an attempt to the policy; forward the request's first answer to its client."""
        inflight.attempts[attempt_number] = None
        inflight.open_attempts -= 1
        inflight.may_have_run = inflight.may_have_run or not status.never_ran
        is_first_answer = status is interface.Status.DELIVERED and inflight.awaits_answer
        if is_first_answer:
            assert answer is not None
            inflight.awaits_answer = False
            inflight.client.send_answer(answer)
        self._post(
            interface.Outcome(
                id=request_id,
                attempt=attempt_number,
                status=status,
                elapsed_ns=clock.now() - attempt.started_at_ns,
                terminal=not inflight.awaits_answer,
                billed_units=answer.billed_units
                if answer is not None and status is interface.Status.DELIVERED
                else None,
                report=answer.load_report if answer is not None else (),
            )
        )
        self._ended_requests.append(request_id)

    def _cancel_attempt(self, action: interface.CancelAttempt) -> None:
        inflight = self._in_flight.get(action.id)
        attempt = (
            inflight.attempts[action.attempt]
            if inflight and action.attempt < len(inflight.attempts)
            else None
        )
        if attempt is not None:
            self._backends.cancel(attempt)

    def _refuse_request(self, action: interface.Decline) -> None:
        inflight = self._in_flight.get(action.id)
        if inflight is not None and inflight.awaits_answer:
            inflight.awaits_answer = False
            inflight.client.send_refusal(action.retry_after_ns, bool(inflight.attempts))
            self._diagnostics.record(Event.REQUEST_REFUSED, action.reason.value, inflight.identity)
            self._finish_unanswered(action.id, inflight)

    def _fail_request(self, action: interface.Fail) -> None:
        inflight = self._in_flight.get(action.id)
        if inflight is not None and inflight.awaits_answer:
            inflight.awaits_answer = False
            inflight.client.send_failure()
            self._diagnostics.record(Event.REQUEST_FAILED, "no answer in time", inflight.identity)
            self._finish_unanswered(action.id, inflight)

    def _finish_unanswered(self, request_id: int, inflight: InFlightRequest) -> None:
        """Clean up after a request that the policy has refused or failed."""
        for attempt in inflight.attempts:
            if attempt is not None:
                # The server did not answer in the client's time, so idle connections to it may be dead.
                self._backends.close_idle(attempt.server)
        self._ended_requests.append(request_id)

    def _set_timer(self, action: interface.Wake) -> None:
        self._post_timer_when_due(clock.now() + action.after_ns, action.token)

    def _post_timer_when_due(self, due_at_ns: int, token: int) -> None:
        """Post the timer's event if it is due, or else check again later.

        The event loop's clock is coarse and may fire early, while the policy sets each timer only once and
        must not get its event before it is due.
        """
        delay_ns = due_at_ns - clock.now()
        if delay_ns <= 0:
            self._post(interface.Timer(token))
        else:
            self._loop.call_later(
                math.ceil(delay_ns / clock.NS_PER_MS) / 1000, self._post_timer_when_due, due_at_ns, token
            )

    def _call_counter(self, action: interface.Count) -> None:
        # The names of shared counts are derived from the time.  If this machine's clock disagrees with the
        # other gateways', its calls would add to other counts, and customers would get their quota twice.
        if self.counter is not None and self._server_start_times.clock_check.is_plausible:
            self.counter.call(action)
        else:
            self._post(interface.Counted(action.name, interface.Status.DIAL_FAILED, 0.0, 0))
