"""The counter client over loopback sockets: the order of answers, and how each end of a call is reported."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.config import Address
from gingerworks.gateway.counter import CounterClient
from tests.loopback import Peer, Reader, Writer, closed_port, run, wait_until

WAIT_NS = 20_000_000_000  # so long that no call times out on a busy machine
SHORT_WAIT_NS = 80_000_000


def make_counter_client(
    address: Address, wait_ns: int = WAIT_NS
) -> tuple[CounterClient, list[interface.Counted]]:
    results: list[interface.Counted] = []
    return CounterClient(asyncio.get_running_loop(), address, wait_ns, 7, results.append), results


async def wait_until_connected(counter: CounterClient) -> None:
    """Wait until the client is connected: later calls are written at once."""
    counter.connect()
    await wait_until(lambda: counter._socket is not None)


def call(number: int, amount: float = 1.0) -> interface.Count:
    return interface.Count(number, amount, 60_000_000_000)


async def start_peer(script: Callable[[Peer, Reader, Writer], Awaitable[None]]) -> Peer:
    return await Peer(script).start()


async def answer_each_call(peer: Peer, reader: Reader, writer: Writer) -> None:
    while line := await reader.readline():
        peer.requests.append(line)
        writer.write(b"ok %b\r\n" % line.split()[2])


def test_calls_of_one_turn_are_sent_together_and_answered_in_order() -> None:
    async def scenario() -> None:
        peer = await start_peer(answer_each_call)
        client, results = make_counter_client(peer.address)
        for number in range(50):
            client.call(call(number, number + 0.5))
        await wait_until(lambda: len(results) == 50)
        assert [(c.name, c.status, c.total) for c in results] == [
            (n, interface.Status.DELIVERED, n + 0.5) for n in range(50)
        ]
        assert peer.requests[3] == b"bump 3 3.5000000 60000\r\n"
        assert peer.connections == 1

    run(scenario())


def test_a_late_answer_is_dropped_and_not_taken_for_the_next_calls() -> None:
    async def scenario() -> None:
        late = asyncio.Event()

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.readline()
            await late.wait()
            writer.write(b"ok 111\r\n")
            await reader.readline()
            writer.write(b"ok 222\r\n")
            await reader.read()

        peer = await start_peer(script)
        client, results = make_counter_client(peer.address, SHORT_WAIT_NS)
        await wait_until_connected(client)
        client.call(call(1))
        await wait_until(lambda: len(results) == 1)
        assert results[0].status is interface.Status.EXPIRED
        client._answer_timeout_s = 20.0
        client.call(call(1))
        late.set()
        await wait_until(lambda: len(results) == 2)
        assert (results[1].status, results[1].total) == (interface.Status.DELIVERED, 222.0)

    run(scenario())


ENDINGS: dict[str, tuple[bytes, interface.Status]] = {
    "busy": (b"busy\r\n", interface.Status.SHED),
    "error": (b"error\r\n", interface.Status.SHED),
    "connection closed": (b"", interface.Status.EXPIRED),
    "junk": (b"\xff\xfe\r\n", interface.Status.EXPIRED),
    "not a number": (b"ok lots\r\n", interface.Status.EXPIRED),
    "an underscore in the number": (b"ok 1_0\r\n", interface.Status.EXPIRED),
    "not finite": (b"ok inf\r\n", interface.Status.EXPIRED),
    "endless line": (b"o" * 5000, interface.Status.EXPIRED),
}


@pytest.mark.parametrize("what", ENDINGS)
def test_each_end_of_a_call_is_reported_correctly_and_the_next_call_succeeds(what: str) -> None:
    async def scenario() -> None:
        answer, status = ENDINGS[what]

        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            if not peer.requests:
                peer.requests.append(await reader.readline())
                writer.write(answer)
                if not answer.endswith(b"y\r\n") and answer != b"error\r\n":
                    return
            await answer_each_call(peer, reader, writer)

        peer = await start_peer(script)
        client, results = make_counter_client(peer.address)
        client.call(call(1))
        await wait_until(lambda: len(results) == 1)
        assert results[0].status is status
        while results[-1].status is not interface.Status.DELIVERED:
            before = len(results)
            client.call(call(2))
            await wait_until(lambda: len(results) > before)  # noqa: B023
            assert results[-1].status in (interface.Status.DELIVERED, interface.Status.DIAL_FAILED)
            await asyncio.sleep(0.01)

    run(scenario())


@pytest.mark.parametrize("second", [b"ok lots\r\n", b""])
def test_after_an_invalid_answer_or_a_reset_the_next_call_is_not_delayed(second: bytes) -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            if peer.connections == 1:
                await reader.readline()
                writer.write(b"ok 1\r\n")
                await reader.readline()
                writer.write(second)
                return
            await answer_each_call(peer, reader, writer)

        peer = await start_peer(script)
        client, results = make_counter_client(peer.address)
        for number in range(3):
            client.call(call(number))
            await wait_until(lambda: len(results) == number + 1)  # noqa: B023
        assert [c.status for c in results] == [
            interface.Status.DELIVERED,
            interface.Status.EXPIRED,
            interface.Status.DELIVERED,
        ]

    run(scenario())


def test_calls_to_an_unreachable_counter_are_reported_as_never_added() -> None:
    async def scenario() -> None:
        client, results = make_counter_client(("127.0.0.1", closed_port()))
        for _ in range(3):
            client.call(call(1))
        await wait_until(lambda: len(results) == 3)
        assert {c.status for c in results} == {interface.Status.DIAL_FAILED}

    run(scenario())


def test_a_silent_connection_is_replaced() -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            if peer.connections == 1:
                await reader.read()
            await answer_each_call(peer, reader, writer)

        peer = await start_peer(script)
        client, results = make_counter_client(peer.address, SHORT_WAIT_NS)
        await wait_until_connected(client)
        number = 0
        while not results or results[-1].status is not interface.Status.DELIVERED:
            number += 1
            before = len(results)
            client.call(call(number))
            await wait_until(lambda: len(results) > before)  # noqa: B023
            await asyncio.sleep(0.005)
        assert peer.connections == 2
        assert results[0].status is interface.Status.EXPIRED

    run(scenario())


def test_a_connection_with_late_answers_is_kept_and_a_silent_one_is_closed() -> None:
    async def scenario() -> None:
        async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
            await reader.read()

        peer = await start_peer(script)
        client, _ = make_counter_client(peer.address)
        await wait_until_connected(client)
        client.call(call(1))
        await wait_until(lambda: client._calls[0].is_fully_sent)
        client._calls[0].started_at_ns -= 60_000_000_000
        client._last_received_at_ns = clock.now()
        client._on_call_timeout(client._calls[0])
        assert client._socket is not None
        client._last_received_at_ns -= 60_000_000_000
        client._on_call_timeout(client._calls[0])
        assert client._socket is None

    run(scenario())


def test_a_connection_that_was_idle_for_long_is_replaced_before_a_call() -> None:
    async def scenario() -> None:
        peer = await start_peer(answer_each_call)
        client, results = make_counter_client(peer.address)
        client.call(call(1))
        await wait_until(lambda: len(results) == 1)
        client._last_used_at_ns -= 60_000_000_000
        client.call(call(2))
        await wait_until(lambda: len(results) == 2)
        assert peer.connections == 2

    run(scenario())
