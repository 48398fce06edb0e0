"""When calls to the shared counter are made: those for customers, and those that synchronise the clocks.

Until the gateways agree on the time, calls for customers may have to wait (they are deferred), or must not be
made at all (they are suspended); see ``clock_sync``.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gingerworks import interface
from gingerworks.policy.customer import Customer
from gingerworks.policy.quotas import Quotas
from gingerworks.policy.timer_queue import ScheduledCallback


class CallContext(Protocol):
    """What the calls need of the decisions of their gateway; ``driver.Policy`` provides it."""

    settings: interface.Settings
    quotas: Quotas
    now: int
    actions: list[interface.Action]

    def schedule(self, at_ns: int, callback: Callable[[], None]) -> ScheduledCallback:
        """Call back at this time."""

    def handle_counted(self, answer: interface.Counted) -> None:
        """Handle the answer to a call."""


class CounterCalls:
    """Makes the calls to the shared counter."""

    def __init__(self, context: CallContext) -> None:
        self._context = context
        self._clock = context.quotas.clock
        self._deferred: dict[str, Customer] = {}  # held back in the first clock sync, by customer key

    def call(self, customer: Customer) -> None:
        """Call the counter for this customer, unless the clock synchronisation defers or suspends calls."""
        context = self._context
        if self._clock.defers_customer_calls(context.now):
            self._deferred[customer.key] = customer
            return
        for action in context.quotas.start_call(customer, context.now):
            if self._clock.suspends_customer_calls(context.now):
                self._schedule_unsent_answer(action.name)
            else:
                context.actions.append(action)

    def schedule_report(self, customer: Customer) -> None:
        """Schedule the call that reports this customer's use to the shared counter."""
        context = self._context
        report_at_ns = context.quotas.schedule_report(customer, context.now)
        if report_at_ns is not None:
            customer.report_callback = context.schedule(report_at_ns, lambda: self.call(customer))

    def report_forgotten_customers(self) -> None:
        """Report what customers that had to be forgotten have used, as far as the counter takes calls now."""
        for customer in self._context.quotas.take_forgotten():
            if customer.report_callback is not None:
                customer.report_callback.cancel()
            if not self._clock.defers_customer_calls(self._context.now):
                self.call(customer)

    def _schedule_unsent_answer(self, name: int) -> None:
        """Answer a call of the counter as unsent, because the clock synchronisation has suspended calls."""
        context, unsent = self._context, interface.Counted(name, interface.Status.UNUSED, 0.0, 0)
        context.schedule(context.now, lambda: context.handle_counted(unsent))

    def start_clock_sync(self, plan: interface.Plan) -> None:
        """Start agreeing with the other gateways on the time, at the first request that has a quota."""
        context = self._context
        if plan.rate > 0 and context.settings.has_counter and self._clock.start(context.now):
            self.schedule_clock_sync()
            context.schedule(self._clock.start_deadline_ns, self.release_deferred)

    def release_deferred(self) -> None:
        """Make the calls deferred during the first attempt at agreement on the time, once it has ended."""
        if self._deferred and not self._clock.defers_customer_calls(self._context.now):
            deferred, self._deferred = self._deferred, {}
            for customer in deferred.values():
                self.call(customer)

    def schedule_clock_sync(self) -> None:
        """Schedule the next call of the clock synchronisation."""
        call_at_ns = self._clock.due_at_ns
        if call_at_ns is not None:
            self._context.schedule(call_at_ns, self._sync_clock)

    def _sync_clock(self) -> None:
        """Make the call of the clock synchronisation that is due."""
        action = self._clock.take_due_call(self._context.now)
        if action is not None:
            self._context.actions.append(action)
        else:
            self.schedule_clock_sync()
