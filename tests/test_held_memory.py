"""The parts that bound memory: input that is not parsed yet, the input of all clients, and answers."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from gingerworks.gateway.answer_memory import ReceivedAnswers, UnsentAnswers
from gingerworks.gateway.arrival_times import ArrivalTimes
from gingerworks.gateway.config import BYTES_PER_MB
from gingerworks.gateway.held_input import HeldInput
from gingerworks.gateway.memory_budget import DEFAULT_LIMIT_BYTES, MAX_CUSTOMERS, MemoryBudget
from gingerworks.gateway.read_ahead import MAX_SLICE_BYTES, ReadAhead

HEAD = b"GET / HTTP/1.1\r\n\r\n"


def test_slices_bring_all_bytes_in_order_and_end_with_a_head() -> None:
    reads = [HEAD * 3, b"x" * 3000, b"ab\r\n\r\ncd", b"", b"\r\n\r\n"]
    ahead = ReadAhead()
    for number, data in enumerate(reads):
        ahead.add(data, ArrivalTimes(number, 10 + number), emptied=number != 1)
    slices = []
    while ahead:
        slices.append(ahead.take_slice())
    assert b"".join(one.data for one in slices) == b"".join(reads)
    assert all(0 < len(one.data) <= MAX_SLICE_BYTES for one in slices)
    ends = [one.data for one in slices if one.data.endswith(b"\r\n\r\n")]
    assert ends == [HEAD, HEAD, HEAD, b"ab\r\n\r\n", b"\r\n\r\n"]
    # Only the last slice of a read that took all is known to bring the last byte that came.
    assert [one.last_byte_ns for one in slices if one.last_byte_ns is not None] == [10, 12, 14]
    assert ahead.held_bytes == 0


@dataclass(eq=False)
class Holder:
    """A client with an incomplete request."""

    held: HeldInput
    size: int
    rejected: bool = False

    def reject_for_memory(self) -> None:
        self.rejected = True
        self.held.change(self, -self.size, 0)


def test_the_largest_incomplete_requests_give_way_first() -> None:
    held = HeldInput(1000)
    holders = [Holder(held, size) for size in (100, 400, 50, 300, 200)]
    for holder in holders[:-1]:
        held.change(holder, holder.size, holder.size)
    assert held.is_scarce
    assert not any(holder.rejected for holder in holders)
    held.change(holders[-1], 200, 200)
    assert [holder.rejected for holder in holders] == [False, True, False, False, False]
    assert held.total_bytes == 650


def test_complete_requests_do_not_give_way() -> None:
    held = HeldInput(1000)
    complete, incomplete = Holder(held, 5000), Holder(held, 10)
    held.change(complete, 5000, 0)
    held.change(incomplete, 10, 10)
    assert incomplete.rejected
    assert not complete.rejected
    assert held.total_bytes == 5000


@dataclass(eq=False)
class Reader:
    """A connection to a server."""

    resumed: int = 0

    def resume_reading(self) -> None:
        self.resumed += 1


def test_answers_wait_for_room_and_one_can_always_be_read() -> None:
    received, readers = ReceivedAnswers(100), [Reader() for _ in range(3)]
    for reader in readers[:2]:
        assert received.may_read(reader)
        received.add(reader, 60)
    assert received.may_read(readers[0])  # the first one is read on
    assert not received.may_read(readers[1])
    assert not received.may_read(readers[2])
    received.release(readers[0])
    assert [reader.resumed for reader in readers] == [0, 1, 0]
    received.release(readers[1])
    assert [reader.resumed for reader in readers] == [0, 1, 1]
    received.release(readers[2])
    assert received.total_bytes == 0


@dataclass(eq=False)
class Receiver:
    """A client that is slow to read its answers."""

    unsent_bytes: int
    reasons: list[str] = field(default_factory=list)

    def close_unread(self, reason: str) -> None:
        self.reasons.append(reason)


def test_the_clients_that_fell_behind_first_are_closed_first() -> None:
    unsent, receivers = UnsentAnswers(100), [Receiver(40) for _ in range(4)]
    for receiver in receivers[:2]:
        unsent.add(receiver)
    receivers[0].unsent_bytes = 0  # it has read its answers meanwhile
    unsent.add(receivers[2])
    assert not any(receiver.reasons for receiver in receivers)
    unsent.add(receivers[3])
    assert [bool(receiver.reasons) for receiver in receivers] == [False, True, False, False]


@pytest.mark.parametrize("limit_mb", [32, 64, 192, 2048])
def test_the_parts_of_the_memory_stay_within_what_is_free(limit_mb: int) -> None:
    budget = MemoryBudget.within(limit_mb * BYTES_PER_MB, 26 * BYTES_PER_MB)
    parts = budget.input_bytes + budget.received_bytes + budget.unsent_bytes
    parts += budget.customers * 1200 + budget.remembered_ids * 70
    assert parts <= 0.7 * (limit_mb - 26) * BYTES_PER_MB


def test_a_limit_below_what_the_process_takes_leaves_a_little_of_each() -> None:
    budget = MemoryBudget.within(20 * BYTES_PER_MB, 26 * BYTES_PER_MB)
    assert min(budget.input_bytes, budget.received_bytes, budget.unsent_bytes) >= 64 * 1024
    assert min(budget.customers, budget.remembered_ids) >= 100


def test_without_a_limit_the_default_one_counts() -> None:
    assert MemoryBudget.within(None, 0) == MemoryBudget.within(DEFAULT_LIMIT_BYTES, 0)
    assert MemoryBudget.within(None, 0).customers <= MAX_CUSTOMERS
