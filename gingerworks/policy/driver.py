"""The entry point of the decisions: ``Policy`` takes events, consults the other modules and returns actions.

A request is admitted, held for an answer of the shared counter (a reading), or refused.  If admitted, it gets
one attempt, and further ones (retries, hedges) within the retry budget, and one final answer, a timer tick
before its deadline at the latest.  Callbacks for later are kept in a heap; a timer is requested for the
earliest.  Times are nanoseconds of the caller's clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from gingerworks import interface
from gingerworks.policy.clock_sync import ClockSync
from gingerworks.policy.constants import OVERDUE_MEANS, SECOND, SWEEP_PERIOD_NS
from gingerworks.policy.counter_calls import CounterCalls
from gingerworks.policy.customer import Customer, HeldDecision
from gingerworks.policy.gap_counter import GapCounter
from gingerworks.policy.in_flight import Attempt, InFlightRequest
from gingerworks.policy.load_shedding import LoadShedder
from gingerworks.policy.quotas import Quotas
from gingerworks.policy.servers import Backend, Servers
from gingerworks.policy.speculative_admission import Headroom
from gingerworks.policy.state_log import KEEPS_UP_FRACTION, StateLog
from gingerworks.policy.timer_queue import ScheduledCallback, TimerQueue

DeclineReason = interface.DeclineReason
RETRY_SHARE = 0.1  # each admitted request allows so many retries and hedges more: bounds retry storms
RETRY_BURST = 10.0  # so many retries and hedges may be saved up: a failure among few requests is retried
OVERDUE_AIM_FRACTION = 0.35  # an answer is overdue after this fraction of its request's aim at the earliest
DEFAULT_WAIT_NS = 60_000_000  # a refusal advises this wait if none is known: half a usual answer time or so


class Policy:
    """All decisions of one gateway: the same seed, settings, times and events give the same actions."""

    def __init__(
        self, seed: int, settings: interface.Settings, now: int, max_customers: int | None = None
    ) -> None:
        """Remembers at most ``max_customers`` customers, or as many as ``quotas`` does without a limit."""
        self.settings = settings
        self.rng = random.Random(seed)
        self.request_classes = {request_class.name: request_class for request_class in settings.classes}
        # The clock has its own generator, so that its random draws do not change those of other decisions.
        clock = ClockSync(settings.gateways, random.Random(f"{seed} clock"))
        self.quotas = Quotas(settings, self.rng, now, clock, max_customers)
        self.servers = Servers(settings, self.rng, now)
        self.shedder = LoadShedder(settings, now)
        self.retry_budget = GapCounter(RETRY_BURST, RETRY_BURST, 0.0)
        self.in_flight: dict[int, InFlightRequest[Customer]] = {}
        self.scheduled = TimerQueue()
        self.state_log = StateLog()
        self.timer_due_at_ns: int | None = None
        self.shutdown_deadline_ns: int | None = None
        self.now = now
        self.actions: list[interface.Action] = []
        self.counter_calls = CounterCalls(self)
        if settings.discovery_on_request:
            self.schedule(now, lambda: self.actions.append(interface.Watch()))
        self.schedule(now + SWEEP_PERIOD_NS, self.sweep)

    def handle(self, now: int, events: Iterable[interface.Event]) -> list[interface.Action]:
        """Handle the events up to ``now``; returns the actions to carry out, in order."""
        if now < self.now:
            raise ValueError(f"time runs backwards: {now} after {self.now}")
        self.now, self.actions = now, []
        for event in events:
            self.handle_event(event)
        while (callback := self.scheduled.take_due(now)) is not None:
            callback()
        self.set_timer()
        return self.actions

    def handle_event(self, event: interface.Event) -> None:
        """Dispatch one event; timer events need no handling, and results of probes are not used."""
        match event:
            case interface.Request():
                self.handle_request(event)
            case interface.Outcome():
                self.handle_outcome(event)
            case interface.Counted():
                self.handle_counted(event)
            case interface.ServersChanged():
                self.servers.apply_list(event, self.now)
                if event.mode is interface.ListMode.FAILED and self.settings.discovery_on_request:
                    retry_at_ns = self.now + int(SECOND * (1 + self.rng.random()))
                    self.schedule(retry_at_ns, lambda: self.actions.append(interface.Watch()))
            case interface.RequestCancelled():
                self.close(self.in_flight.get(event.id))
            case interface.ShutdownStarted():
                self.begin_shutdown(event.answers_due_ns)
            case interface.Started():
                if inflight := self.in_flight.get(event.id):
                    inflight.streaming = True  # a stream has no deadline and gets no further attempt

    def schedule(self, at_ns: int, callback: Callable[[], None]) -> ScheduledCallback:
        """Call back at this time; callbacks for the same time run in the order of these calls."""
        return self.scheduled.add(at_ns, callback)

    def set_timer(self) -> None:
        """Request a timer for the earliest callback, unless one is set that is due no later."""
        if self.timer_due_at_ns is not None and self.timer_due_at_ns <= self.now:
            self.timer_due_at_ns = None
        due_at_ns = self.scheduled.next_due_ns()
        if due_at_ns is not None and (self.timer_due_at_ns is None or due_at_ns < self.timer_due_at_ns):
            self.timer_due_at_ns = due_at_ns
            self.actions.append(interface.Wake(max(1, due_at_ns - self.now), 0))

    def sweep(self) -> None:
        """Forget idle customers and log state changes, every ``SWEEP_PERIOD_NS``."""
        self.quotas.sweep(self.now)
        self.schedule(self.now + SWEEP_PERIOD_NS, self.sweep)
        self.actions += self.state_log.changes(self.servers, self.quotas, self.shedder, self.now)

    def begin_shutdown(self, answers_due_ns: int) -> None:
        """Apply the shutdown's deadline to all requests in flight and to new ones."""
        self.shutdown_deadline_ns = answers_due_ns
        for inflight in self.in_flight.values():
            if inflight.deadline_ns > answers_due_ns:
                inflight.deadline_ns = answers_due_ns
                self._schedule_end(inflight)

    def _schedule_end(self, inflight: InFlightRequest[Customer]) -> None:
        """Schedule the end of a request that has no answer a timer tick before its deadline."""
        end_at_ns = max(self.now, inflight.deadline_ns - self.settings.tick_ns)
        inflight.callbacks.append(self.schedule(end_at_ns, lambda: self.end_unserved(inflight)))

    def _shutdown_cuts_short(self, inflight: InFlightRequest[Customer]) -> bool:
        """Whether the shutdown leaves a request less time than its aim.

        If the request is refused at once, another gateway can still answer it within its aim.
        """
        if self.shutdown_deadline_ns is None or inflight.deadline_ns < self.shutdown_deadline_ns:
            return False
        return inflight.deadline_ns - self.now < inflight.request_class.aim_ns

    def handle_request(self, request: interface.Request) -> None:
        """Admit a new request, hold it for a reading of the shared count, or refuse it."""
        inflight = self._register(request)
        if request.ttl_ns <= 0:
            return self.decline(inflight, 0, DeclineReason.NO_TIME_LEFT)
        if self._shutdown_cuts_short(inflight):
            return self.decline(inflight, 0, DeclineReason.SHUTDOWN)
        customer, plan, units = inflight.customer, inflight.customer.plan, request.units
        self.counter_calls.start_clock_sync(plan)
        in_quota = self.quotas.check_quota(inflight, self.now)
        if in_quota is False and plan.excess_worth <= plan.overrun_cost:
            return self.decline(inflight, customer.refill_wait_ns(units), DeclineReason.QUOTA)
        if in_quota is not None and not customer.ceiling_part_covers(units):
            # Beyond its part of a ceiling (hard limit), a gateway needs a reading, even from a late counter.
            if not in_quota or not self.quotas.should_read(inflight, Headroom.BEYOND_PART, self.now):
                return self.decline(inflight, 0, DeclineReason.CEILING)
            in_quota = None
        if self._sheds(inflight):
            return self.decline(inflight, self.settings.limits.max_retry_after_ns, DeclineReason.LOAD)
        self._schedule_end(inflight)
        if in_quota is None:
            customer.waiting_requests.append(inflight)
            self.counter_calls.call(customer)
            return None
        self.admit(inflight, units if in_quota else 0.0)
        if in_quota and self.quotas.record_unreported(customer, units):
            self.counter_calls.schedule_report(customer)
        return None

    def _register(self, request: interface.Request) -> InFlightRequest[Customer]:
        """Add a new request to those in flight; ``ValueError`` for a known id or an unknown class or plan."""
        if request.id in self.in_flight:
            raise ValueError(f"request {request.id} was already given")
        if request.class_name not in self.request_classes or request.plan not in self.quotas.plans:
            raise ValueError(f"request {request.id}: unknown class or plan")
        request_class = self.request_classes[request.class_name]
        customer = self.quotas.customer(request, self.now)
        self.counter_calls.report_forgotten_customers()
        inflight = self.in_flight[request.id] = InFlightRequest(request, request_class, customer, self.now)
        if self.shutdown_deadline_ns is not None:
            inflight.deadline_ns = min(inflight.deadline_ns, self.shutdown_deadline_ns)
        return inflight

    def _sheds(self, inflight: InFlightRequest[Customer]) -> bool:
        """Whether load shedding refuses this request."""
        request_class, plan, units = inflight.request_class, inflight.customer.plan, inflight.request.units
        work = self.servers.mean_answer_ns[request_class.name]
        return self.rng.random() > self.shedder.pass_probability(request_class, plan, units, work, self.now)

    def admit(self, inflight: InFlightRequest[Customer], charge: float, booked: bool = False) -> bool:
        """Start a request's first attempt, or refuse it; ``booked``: its units are in the shared count."""
        customer, units = inflight.customer, inflight.request.units
        backend = self.choose_backend(inflight)
        booked = booked and customer.may_use_ceiling_reserve
        if backend is None or not (booked or customer.ceiling_part_covers(units)):
            self.decline(
                inflight,
                0,
                DeclineReason.NO_SERVER if backend is None else DeclineReason.CEILING,
            )
            return False
        customer.allowance.adjust(-charge)
        if customer.ceiling_allowance is not None:
            customer.ceiling_allowance.adjust(
                -min(units, max(0.0, customer.ceiling_allowance.level)) if booked else -units
            )
        self.quotas.record_sent(inflight, self.now)
        self.retry_budget.refill(RETRY_SHARE)
        self.start_attempt(inflight, backend)
        return True

    def handle_counted(self, answer: interface.Counted) -> None:
        """Handle an answer of the shared counter: decide the requests that were held for it."""
        if self.quotas.clock.expects_answer_for(answer.name):
            self.quotas.handle_clock_answer(answer, self.now)
            self.counter_calls.schedule_clock_sync()
            self.counter_calls.release_deferred()
            return
        call = self.quotas.calls.get(answer.name)
        result = self.quotas.handle_answer(answer, self.now)
        if call is None or result is None:
            return
        customer, decisions = result
        for decision in decisions:
            if not decision.inflight.closed:
                self._decide(decision)
        # Units booked for refused requests are taken back at once only while the counter keeps up: the calls
        # that take back units were a quarter of all calls to the counter.
        is_urgent = customer.unreported < 0 and self.quotas.read_fraction >= KEEPS_UP_FRACTION
        is_urgent = is_urgent or (customer.unreported > 0 and call.has_unbooked_requests)
        if customer.counter_answered:
            self.actions += self.quotas.start_count_correction(customer, self.now)
        if customer.waiting_requests or (customer.counter_answered and is_urgent):
            self.counter_calls.call(customer)
        elif customer.unreported > 0 or (customer.counter_answered and customer.unreported < 0):
            self.counter_calls.schedule_report(customer)

    def _decide(self, decision: HeldDecision) -> None:
        """Admit or refuse a held request once the counter has answered or the call has failed.

        A request that only the reserve of a ceiling covers is held once more if its units are not booked.
        """
        inflight, covered = decision.inflight, decision.covered
        customer, units = inflight.customer, inflight.request.units
        if not covered:
            self._learn(inflight, False)
            return self.decline(inflight, customer.refill_wait_ns(units), DeclineReason.QUOTA)
        part_covers = customer.ceiling_part_covers(units)
        reserve_covers = customer.counter_answered and customer.may_use_ceiling_reserve
        if reserve_covers and not part_covers and not decision.booked:
            customer.undo_booking(units)
            inflight.needs_booking = True
            customer.waiting_requests.append(inflight)
            return None
        self._learn(inflight, reserve_covers or part_covers)
        if not self.admit(inflight, units, decision.booked):
            # Otherwise the shared count would keep the units booked for a request that is refused after all.
            customer.undo_booking(units)
        return None

    def _learn(self, inflight: InFlightRequest[Customer], admitted: bool) -> None:
        """Learn from a decision on a held request, if a reading of the shared count made it."""
        if inflight.customer.counter_answered:
            self.quotas.learn(inflight, admitted)

    def choose_backend(self, inflight: InFlightRequest[Customer]) -> Backend | None:
        """The server for the next attempt of a request, if it may have one and a server is left."""
        limits = self.settings.limits
        if len(inflight.attempts) >= limits.max_attempts or (
            inflight.attempts_in_flight() and not limits.hedging
        ):
            return None
        # An attempt that first has to connect could arrive after the time in which servers drop repeats.
        arrives_by_ns = self.now + limits.connect_timeout_ns
        allowed = (b for b in self.servers.backends.values() if inflight.allows_attempt_on(b, arrives_by_ns))
        tried = [attempt.backend.entry.name for attempt in inflight.attempts]
        return self.servers.choose(
            self.now, self.servers.mean_answer_ns[inflight.request_class.name], allowed, tried
        )

    def start_attempt(self, inflight: InFlightRequest[Customer], backend: Backend) -> None:
        """Start an attempt, and schedule what is done if its answer is overdue."""
        mean = self.servers.mean_answer_ns[inflight.request_class.name]
        self.servers.attempt_started(backend, self.now)
        self.shedder.adjust_in_flight(1, self.now)
        inflight.attempts.append(Attempt(backend, self.now))
        left_ns = inflight.deadline_ns - self.now
        self.actions.append(interface.Assign(inflight.request.id, backend.entry.name, left_ns))
        wait_ns = int(max(OVERDUE_MEANS * mean, OVERDUE_AIM_FRACTION * inflight.request_class.aim_ns))
        if wait_ns < left_ns:
            callback = self.schedule(self.now + wait_ns, lambda: self.handle_overdue(inflight))
            inflight.callbacks.append(callback)

    def handle_overdue(self, inflight: InFlightRequest[Customer]) -> None:
        """An answer is overdue: hedge, or cancel the attempt to retry, within the retry budget."""
        if inflight.closed or inflight.streaming:
            return
        self._stop_counting_as_load(inflight)
        if (
            inflight.request_class.effect is interface.Effect.UNSAFE
            or not inflight.attempts_in_flight()
            or self.shedder.load_ratio(self.now) > 1.0
        ):
            return
        last, limits = inflight.attempts[-1], self.settings.limits
        # If the server has answered other requests since, this one takes long itself, as it would elsewhere.
        if last.backend.waiting_since_ns > last.sent_ns or not self.retry_budget.covers(1.0):
            return
        if limits.hedging:
            backend = self.choose_backend(inflight)
            if backend is not None and backend is not last.backend:
                self.retry_budget.adjust(-1.0)
                self.start_attempt(inflight, backend)
        elif limits.may_cancel and len(inflight.attempts) < limits.max_attempts:
            self.retry_budget.adjust(-1.0)
            self.actions.append(interface.CancelAttempt(inflight.request.id, len(inflight.attempts) - 1))

    def _stop_counting_as_load(self, inflight: InFlightRequest[Customer]) -> None:
        """Stop counting overdue attempts as load on the servers: their answers may be lost."""
        for attempt in inflight.attempts:
            if attempt.in_flight and attempt.counts_as_load and attempt.sent_ns < self.now:
                attempt.counts_as_load = False
                self.shedder.adjust_in_flight(-1, self.now)

    def handle_outcome(self, outcome: interface.Outcome) -> None:
        """Handle the end of an attempt: the request ends, or is retried if nothing else is in flight."""
        inflight = self.in_flight.get(outcome.id)
        if inflight is None or outcome.attempt >= len(inflight.attempts):
            return
        attempt = inflight.attempts[outcome.attempt]
        if not attempt.in_flight:
            return
        self._record_outcome(attempt, outcome, inflight.request_class)
        self.quotas.settle_units(inflight, outcome.billed_units)
        if outcome.terminal or inflight.closed:
            self.close(inflight)
        elif not inflight.attempts_in_flight():
            self.retry_or_end(inflight, outcome)

    def _record_outcome(
        self, attempt: Attempt, outcome: interface.Outcome, request_class: interface.RequestClass
    ) -> None:
        """Record the outcome of an attempt for its server and for load shedding."""
        attempt.in_flight = False
        self.shedder.adjust_in_flight(-1 * attempt.counts_as_load, self.now)
        attempt.may_have_run = not outcome.status.never_ran
        self.servers.attempt_ended(attempt.backend, outcome, request_class, self.now)
        # Slow answers and refusals are signs of load.  Broken connections and errors are not, and attempts
        # that were never sent say nothing about load.
        target_ns = self.servers.target_answer_ns(request_class)
        if outcome.status is interface.Status.SHED:
            self.shedder.time_in_flight_ns += OVERDUE_MEANS * target_ns
        elif outcome.status not in (interface.Status.EXPIRED, interface.Status.UNUSED):
            self.shedder.time_allowed_ns += target_ns

    def retry_or_end(self, inflight: InFlightRequest[Customer], outcome: interface.Outcome) -> None:
        """Retry a request that has no attempt in flight any more, or end it."""
        # Cancelling charged the retry budget already; unsent attempts and failed connections cost no work.
        free = outcome.status in (
            interface.Status.CANCELLED,
            interface.Status.DIAL_FAILED,
            interface.Status.UNUSED,
        )
        cost = 0.0 if free else 1.0
        retry_in_time = inflight.deadline_ns - self.now > 2 * self.settings.tick_ns
        backend = self.choose_backend(inflight) if retry_in_time and self.retry_budget.covers(cost) else None
        if backend is None:
            return self.end_unserved(inflight)
        self.retry_budget.adjust(-cost)
        return self.start_attempt(inflight, backend)

    def end_unserved(self, inflight: InFlightRequest[Customer]) -> None:
        """Refuse or fail a request without a final answer; a stream that has begun goes on."""
        if inflight.closed or inflight.streaming:
            return
        if inflight.may_decline():
            self.decline(inflight, 0, DeclineReason.NOT_SERVED)
        else:
            self.actions.append(interface.Fail(inflight.request.id))
            self.close(inflight)

    def decline(self, inflight: InFlightRequest[Customer], wait_ns: int, reason: DeclineReason) -> None:
        """Refuse a request; the client may try again after ``wait_ns``, which is 0 if that is not known."""
        max_ns = self.settings.limits.max_retry_after_ns if self.settings.limits.may_send_retry_after else 0
        retry_after_ns = min(wait_ns or DEFAULT_WAIT_NS, max_ns)
        self.actions.append(interface.Decline(inflight.request.id, retry_after_ns, reason))
        self.close(inflight)

    def close(self, inflight: InFlightRequest[Customer] | None) -> None:
        """End a request: cancel the attempts still in flight; forget it once all have their outcomes."""
        if inflight is None:
            return
        if not inflight.closed and self.settings.limits.may_cancel:
            for number, attempt in enumerate(inflight.attempts):
                if attempt.in_flight:
                    self.actions.append(interface.CancelAttempt(inflight.request.id, number))
        inflight.closed = True
        inflight.cancel_callbacks()
        if not inflight.attempts_in_flight():
            self.in_flight.pop(inflight.request.id, None)
