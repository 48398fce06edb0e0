"""The shutdown deadline, on virtual time: each request after SIGTERM is answered before SIGKILL.

SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s at the most, and 0.7 s more.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import json
import re
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from gingerworks import interface
from gingerworks.gateway import clock
from gingerworks.gateway.__main__ import Gateway
from gingerworks.gateway.config import Address
from gingerworks.gateway.dial import Dial
from tests import loopback, virtual_time
from tests.loopback import (
    SETTINGS,
    Peer,
    Process,
    Reader,
    Writer,
    answering_server,
    build_request,
    gateway,
    raw_config,
    read_message,
)
from tests.support import MS, SECOND, outcome, policy_with_servers, request, served

KILL_DELAY_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
STALL_S = 0.14  # just below the 0.15 s for which a gateway may stall between reading its clock and a write
UNIX_NS = 1_700_000_000 * clock.NS_PER_S


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """The gateway's clock shows the loop's virtual time."""
    monkeypatch.setattr(
        clock, "now", lambda: UNIX_NS + round(asyncio.get_running_loop().time() * clock.NS_PER_S)
    )


def now_s() -> float:
    return asyncio.get_running_loop().time()


def settings(deadline_s: float, aim_s: float = 0.1, **limits: Any) -> dict[str, Any]:
    """The tests' settings with this deadline for both classes."""
    changed = copy.deepcopy(SETTINGS)
    for kind in changed["classes"]:
        kind["hard-limit-ns"] = int(deadline_s * clock.NS_PER_S)
        kind["on-time-ns"] = int(aim_s * clock.NS_PER_S)
    changed["limits"] |= limits
    return changed


def run_virtual(scenario: Coroutine[Any, Any, None]) -> None:
    """Run on virtual time; a scenario that hangs runs out of timers and fails."""
    virtual_time.run(scenario)


def accepting_gateway(*servers: Address, **changes: Any) -> Gateway:
    """A gateway that accepts clients, though discovery has not answered."""
    gw = gateway(*servers, **changes)
    gw.frontend.start_accepting()
    return gw


async def hanging_server() -> Peer:
    """A server that reads requests on each connection and never answers."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while True:
            peer.requests.append(await read_message(reader))

    return await Peer(script).start()


class Sender:
    """A client that records when it sent a request and when the answer came."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer
        self.sent_s = 0.0
        self.answered_s = 0.0

    @classmethod
    async def to(cls, gw: Gateway) -> Sender:
        return cls(*await asyncio.open_connection(*gw.frontend.address))

    @classmethod
    async def asking(cls, gw: Gateway, request: bytes) -> Sender:
        """A client whose request the gateway has read."""
        sender = await cls.to(gw)
        sender.send(request)
        await asyncio.sleep(0.01)
        return sender

    def send(self, request: bytes) -> None:
        self.sent_s = now_s()
        self.writer.write(request)

    async def answer(self) -> tuple[int, bytes]:
        """Status and head; a connection that ends without an answer raises ``IncompleteReadError``."""
        head = (await read_message(self.reader)).partition(b"\r\n\r\n")[0]
        self.answered_s = now_s()
        return int(head.split()[1]), head


class Termination:
    """SIGTERM to a gateway in this process, and the time at which SIGKILL would come."""

    def __init__(self, gw: Gateway, deadline_s: float) -> None:
        self.gw = gw
        self.at_s = now_s()
        self.kill_s = self.at_s + min(deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S
        gw.frontend.begin_shutdown()

    async def moment(self, seconds: float) -> None:
        """Wait until this time after SIGTERM."""
        await asyncio.sleep(self.at_s + seconds - now_s())

    async def ended(self) -> None:
        """Wait for the end of the shutdown, which has to come before SIGKILL."""
        await self.gw.wait_and_close()
        assert now_s() < self.kill_s


def delay_connects(dials: list[Dial]) -> Callable[[Dial], None]:
    """Record connects that have completed; the test calls their ``_on_writable`` later."""

    def note(dial: Dial) -> None:
        asyncio.get_running_loop().remove_writer(dial._socket.fileno())
        dials.append(dial)

    return note


def stall_loop_until(seconds: float) -> None:
    """Stall the process: time passes without a turn of the event loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, virtual_time.VirtualLoop)
    loop.virtual_selector.skipped_s = seconds


def forwarded_time_left_s(request: bytes) -> float:
    """The time left that an attempt forwarded to its server."""
    match = re.search(rb"X-Time-Left: ([\d.]+)\r\n", request)
    assert match is not None
    return float(match[1])


@pytest.mark.parametrize(
    ("deadline_s", "sent_at_s"),
    [(0.4, 0.36), (0.4, 0.75), *itertools.product((1.0, 2.5, 3.0, 8.0), (0.36, 0.75, 0.9))],
)
@pytest.mark.parametrize("kind", ["look", "post"])
def test_late_request_on_an_open_connection_is_answered_before_sigkill(
    deadline_s: float, kind: str, sent_at_s: float
) -> None:
    # It used to have its full deadline, however late it came, and was lost if its server hung.
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(deadline_s))
        termination = Termination(gw, deadline_s)
        await termination.moment(0.35)
        late = await Sender.to(gw)
        await termination.moment(sent_at_s)
        late.send(build_request(kind, left=f"{deadline_s:.3f}"))
        status, head = await late.answer()
        assert late.answered_s < termination.kill_s
        assert status in (429, 502, 503)
        assert status == 502 or b"Retry-After" in head
        for forwarded in server.requests:
            assert late.sent_s + forwarded_time_left_s(forwarded) < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


@pytest.mark.parametrize("deadline_s", [1.0, 2.5])
def test_each_request_of_a_client_that_keeps_sending_is_answered_before_sigkill(deadline_s: float) -> None:
    # A connection with unread input stays open, so that requests of clients that pipeline are read.
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(deadline_s))
        sender = await Sender.to(gw)
        sent = answered = 0

        async def keep_sending() -> None:
            nonlocal sent
            while True:
                sender.send(build_request("look", left=f"{deadline_s:.3f}"))
                sent += 1
                await asyncio.sleep(0.3)

        writing = asyncio.create_task(keep_sending())
        await asyncio.sleep(0.01)
        termination = Termination(gw, deadline_s)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                status, _ = await sender.answer()
                assert status in (429, 502, 503)
                answered += 1
        writing.cancel()
        assert now_s() < termination.kill_s
        # Every request that was read has its answer; only one sent as the connection closed may have none.
        assert answered == gw.runtime._last_request_id
        await termination.ended()

    run_virtual(scenario())


def test_request_from_before_sigterm_keeps_its_deadline_if_that_is_before_sigkill() -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(1.0))
        sender = await Sender.asking(gw, build_request(left="1.000"))
        termination = Termination(gw, 1.0)
        status, _ = await sender.answer()
        assert status == 503
        assert 0.9 < sender.answered_s - sender.sent_s <= 1.0
        await termination.ended()

    run_virtual(scenario())


def test_request_with_a_deadline_past_sigkill_is_answered_before_it() -> None:
    # A client of a class with a deadline of 8 s may wait that long, but the supervisor counts at most 3 s.
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(8.0))
        sender = await Sender.asking(gw, build_request("post", left="8.000"))
        termination = Termination(gw, 8.0)
        assert (await sender.answer())[0] == 502
        assert termination.kill_s - 0.5 < sender.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


def test_request_with_less_than_the_aim_left_is_refused_at_once_and_not_forwarded() -> None:
    async def scenario() -> None:
        server = await answering_server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        gw = accepting_gateway(server.address, settings=settings(1.0, aim_s=0.9))
        termination = Termination(gw, 1.0)
        await termination.moment(0.05)
        late = await Sender.to(gw)
        await termination.moment(0.65)
        late.send(build_request("post", left="1.000"))
        status, head = await late.answer()
        assert status == 429
        assert b"Retry-After" in head
        assert b"Connection: close" in head
        assert late.answered_s - late.sent_s < 0.01
        assert server.requests == []
        await termination.ended()

    run_virtual(scenario())


def test_no_attempt_starts_after_the_answers_are_due() -> None:
    # The connection to the server opens just after that time, and the request could be sent on it.
    async def scenario() -> None:
        server = await answering_server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        gw = accepting_gateway(server.address, settings=settings(8.0))
        dials: list[Dial] = []
        sender = await Sender.to(gw)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Dial, "_on_writable", delay_connects(dials))
            sender.send(build_request("post", left="8.000"))
            await asyncio.sleep(0.01)
            (dial,) = dials
            termination = Termination(gw, 8.0)
        stall_loop_until(termination.kill_s - 0.2)
        dial._on_writable()
        assert (await sender.answer())[0] == 503
        assert server.requests == []
        await termination.ended()

    run_virtual(scenario())


def test_attempt_started_after_sigterm_forwards_no_more_time_than_the_shutdown_leaves() -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(8.0))
        sender = await Sender.to(gw)
        dials: list[Dial] = []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Dial, "_on_writable", delay_connects(dials))
            sender.send(build_request("post", left="8.000"))
            await asyncio.sleep(0.01)
            (dial,) = dials
            termination = Termination(gw, 8.0)
        await termination.moment(0.5)
        dial._on_writable()
        assert (await sender.answer())[0] == 502
        assert termination.at_s + 0.5 + forwarded_time_left_s(server.requests[0]) < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


def test_requests_in_the_backlog_of_a_full_client_table_are_answered_before_sigkill() -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(1.0), limits={"sockets": 64})
        held = [await Sender.to(gw) for _ in range(gw.frontend.clients.budget)]
        for sender in held:
            sender.send(build_request(left="1.000"))
        await asyncio.sleep(0.01)
        termination = Termination(gw, 1.0)
        await termination.moment(0.35)
        waiting = [await Sender.to(gw) for _ in range(3)]
        for sender in waiting:
            sender.send(build_request(left="1.000"))
        for sender in [*held, *waiting]:
            assert (await sender.answer())[0] in (429, 503)
            assert sender.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


def test_request_after_sigterm_before_the_first_accept_is_answered_before_sigkill() -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = gateway(server.address, settings=settings(1.0))  # discovery has not answered yet
        sender = await Sender.to(gw)
        termination = Termination(gw, 1.0)
        await termination.moment(0.55)
        sender.send(build_request("post", left="1.000"))
        assert (await sender.answer())[0] in (429, 502)
        assert sender.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


@pytest.mark.parametrize("deadline_s", [0.4, 1.0, 2.5])
def test_request_that_is_never_completed_is_rejected_before_sigkill(deadline_s: float) -> None:
    # The process used to exit without an answer to it, even if the rest was on its way.
    async def scenario() -> None:
        gw = accepting_gateway(settings=settings(deadline_s))
        sender = await Sender.asking(gw, build_request()[:60])
        termination = Termination(gw, deadline_s)
        status, head = await sender.answer()
        assert status == 503
        assert b"Retry-After" in head
        assert sender.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


def test_slow_reader_gets_its_answer_completely_during_shutdown() -> None:
    # The shutdown used to wait for it only half a second, however much time was left until SIGKILL.
    async def scenario() -> None:
        body = b"a" * 60_000
        server = await answering_server(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        gw = accepting_gateway(server.address, settings=settings(2.5))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, gw.frontend.address)
        await asyncio.sleep(0.01)
        (client,) = gw.frontend.clients.open
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        sock.send(build_request(left="2.500"))
        while not client.has_unsent_output():
            await asyncio.sleep(0.01)
        termination = Termination(gw, 2.5)
        await termination.moment(1.5)
        assert not gw.frontend.finished.is_set()  # the process would exit and the answer be lost
        reader, writer = await asyncio.open_connection(sock=sock)
        assert (await read_message(reader)).endswith(body)
        writer.close()
        await termination.ended()

    run_virtual(scenario())


def test_policy_that_raises_during_shutdown_still_meets_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(1.0))
        termination = Termination(gw, 1.0)
        await termination.moment(0.2)
        late = await Sender.to(gw)
        await termination.moment(0.3)

        def fail(*_arguments: object) -> None:
            raise RuntimeError("raised by the test")

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(gw.runtime._policy, "handle", fail)
            gw.runtime._handle_events()
        await termination.moment(0.75)
        late.send(build_request("post", left="1.000"))
        assert (await late.answer())[0] == 502
        assert late.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


def test_restarted_policy_still_refuses_requests_with_too_little_time() -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(1.0, aim_s=0.9))
        termination = Termination(gw, 1.0)
        await termination.moment(0.2)
        late = await Sender.to(gw)
        gw.runtime._restart_policy()
        await termination.moment(0.75)
        late.send(build_request("post", left="1.000"))
        assert (await late.answer())[0] == 429
        assert server.requests == []
        await termination.ended()

    run_virtual(scenario())


def test_process_that_stalls_as_the_answers_are_due_answers_before_sigkill() -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(8.0))
        sender = await Sender.asking(gw, build_request("post", left="8.000"))
        termination = Termination(gw, 8.0)
        schedule = gw.frontend._shutdown.schedule
        stall_loop_until((schedule.answers_due_ns - UNIX_NS) / clock.NS_PER_S + STALL_S)
        assert (await sender.answer())[0] == 502
        assert sender.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


def test_request_that_waits_for_the_counter_is_refused_in_time_and_not_forwarded() -> None:
    async def scenario() -> None:
        server, counter = await hanging_server(), await silent_counter()
        changed = settings(8.0)
        changed["specifics"] |= {"has-counter": True, "count-wait-ns": 6 * clock.NS_PER_S}
        place = f"{counter.address[0]}:{counter.address[1]}"
        gw = accepting_gateway(server.address, settings=changed, counter=place)
        sender = await Sender.asking(
            gw, build_request("post", left="8.000", X_Contract="small", X_Metering="units=6,spread=3,first=1")
        )
        assert counter.requests
        termination = Termination(gw, 8.0)
        status, head = await sender.answer()
        assert status == 429
        assert b"Retry-After" in head
        assert sender.answered_s < termination.kill_s
        assert server.requests == []
        await termination.ended()

    run_virtual(scenario())


def test_reload_does_not_change_a_running_shutdown(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = await hanging_server()
        gw = accepting_gateway(server.address, settings=settings(1.0))
        sender = await Sender.asking(gw, build_request("post", left="1.000"))
        termination = Termination(gw, 1.0)
        schedule = gw.frontend._shutdown.schedule
        file = tmp_path / "config.json"
        file.write_text(json.dumps(raw_config(server.address, settings=settings(60.0))))
        gw.reload({"NODE_CONFIG": str(file)})
        assert gw.frontend._shutdown.schedule is schedule
        await termination.moment(0.35)
        late = await Sender.to(gw)
        await termination.moment(0.9)
        late.send(build_request("post", left="1.000"))
        for one in (sender, late):
            assert (await one.answer())[0] == 502
            assert one.answered_s < termination.kill_s
        await termination.ended()

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("ended", "answer"),
    [(interface.Status.DROPPED, interface.Decline), (interface.Status.SHED, interface.Decline)],
)
def test_no_retry_starts_without_time_left_before_the_shutdown_deadline(
    ended: interface.Status, answer: type
) -> None:
    policy = policy_with_servers()
    policy.handle(0, [request(1)])
    due = SECOND
    policy.handle(MS, [interface.ShutdownStarted(due)])
    actions = policy.handle(due - 3 * MS, [outcome(1, 0, ended)])
    assert not [action for action in actions if isinstance(action, interface.Assign)]
    assert isinstance(actions[0], answer)


def test_retry_or_hedge_ends_by_the_shutdown_deadline() -> None:
    for late in (outcome(1, 0, interface.Status.DROPPED), interface.Timer(0)):
        policy = policy_with_servers()
        for number in range(10, 40):  # the servers are healthy: a late answer is worth a hedge
            policy.handle(0, [request(number)])
            policy.handle(0, [served(number)])
        policy.handle(0, [request(1)])
        due = 2 * SECOND
        policy.handle(MS, [interface.ShutdownStarted(due)])
        now = due - SECOND
        assigns = [action for action in policy.handle(now, [late]) if isinstance(action, interface.Assign)]
        assert [action.timeout_ns for action in assigns] == [due - now]


def test_request_with_a_deadline_before_the_shutdown_deadline_is_not_shortened() -> None:
    policy = policy_with_servers()
    policy.handle(0, [interface.ShutdownStarted(SECOND)])
    (assign,) = [
        a for a in policy.handle(1, [request(1, ttl_ns=SECOND // 10)]) if isinstance(a, interface.Assign)
    ]
    assert assign.timeout_ns == SECOND // 10


GATEWAYS = 6


def test_processes_answer_all_late_requests_after_sigterm_and_exit(tmp_path: Path) -> None:
    # With real processes, sockets and signals, and a server that never answers; no time limit is tight here.
    async def scenario() -> None:
        server = await hanging_server()
        configs = [
            raw_config(server.address, name=f"n{number}", settings=settings(0.5))
            for number in range(GATEWAYS)
        ]
        with contextlib.ExitStack() as stack:
            processes = [stack.enter_context(Process(tmp_path, config)) for config in configs]
            for process in processes:
                await process.listening()
            answered = await asyncio.gather(*(terminate_under_load(process) for process in processes))
            assert [process.exit_code() for process in processes] == [0] * GATEWAYS
            assert min(answered) >= 2

    loopback.run(scenario())


async def terminate_under_load(process: Process) -> int:
    """Send SIGTERM while requests are open and further ones come; returns how many were answered."""
    early = await loopback.Client.at(process.address)
    assert (await early.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
    late = await loopback.Client.at(process.address)
    early.writer.write(build_request("post", left="0.500"))
    late.writer.write(
        build_request("look", left="0.500")[:30]
    )  # incomplete, so that this connection is not idle
    await asyncio.sleep(0)
    process.terminate()
    # Once no new connection has come for a while, those without a request are closed.  On a busy machine that
    # could be before an asynchronous send, so connect and send at once.
    sock = socket.create_connection(process.address)
    sock.sendall(build_request("post", left="0.500"))
    latest = loopback.Client(*await asyncio.open_connection(sock=sock))
    answers = [await one.answer() for one in (early, latest, late)]
    assert all(status in (200, 429, 502, 503) for status, _, _ in answers)
    for one in (early, latest, late):
        assert await one.reader.read() == b""
    await asyncio.to_thread(process.wait)
    return len(answers)


async def silent_counter() -> Peer:
    """A counter that takes calls and answers none."""

    async def script(peer: Peer, reader: Reader, writer: Writer) -> None:
        while line := await reader.readline():
            peer.requests.append(line)

    return await Peer(script).start()
