from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.adapter.http.message import encode_request_head
from hoisthook.node import hop_client
from tests.node.harness import SERVICE
from tests.node.harness import System

if TYPE_CHECKING:
    from tests.node.harness import CallerResult


def ingress(system: System, name: str = "a") -> tuple[str, int]:
    return system.node_by_name[name].callers_address


async def post(system: System, name: str, key: str, ingress_name: str = "a") -> CallerResult:
    return await system.call(
        ingress(system, ingress_name), name, method=b"POST", key=key, body=b"5"
    )


async def test_answer_says_how_it_came_about(system: System) -> None:
    got = await system.call(ingress(system), "r")
    assert (got.status, got.code, got.ran) == (200, 0, "ran")
    assert got.headers[b"hoisthook-attempts"] == b"1"
    assert got.headers[b"hoisthook-ran-by"] in (b"b1", b"b2")


async def test_concurrent_callers_each_get_their_own_answer(system: System) -> None:
    names = [f"r{number}" for number in range(40)]
    for backend in system.backend_by_name.values():
        backend.work_seconds = 0.005
    got = await asyncio.gather(*(system.call(ingress(system), name) for name in names))
    for name, each in zip(names, got, strict=True):
        assert each.code != 0 or each.body.startswith(f"{name}|".encode())


async def test_slots_are_never_exceeded(patient_system: System) -> None:
    system = patient_system
    for backend in system.backend_by_name.values():
        backend.work_seconds = 0.02
    names = [f"r{number}" for number in range(60)]
    got = await asyncio.gather(
        *(system.call(ingress(system, "ac"[n % 2]), name) for n, name in enumerate(names))
    )
    assert all(b.max_active <= 4 for b in system.backend_by_name.values())
    refused = [each for each in got if each.code != 0]
    assert refused
    unexpected = [each for each in refused if each.code not in (2001, 2005, 2007)]
    assert unexpected == []
    assert all(each.ran == "not-run" for each in refused)
    assert all(int(each.headers[b"hoisthook-retry-after-ms"]) >= 1 for each in refused)
    # Answered requests may have run twice because of a hedge; refused ones must not have run.
    for name, each in zip(names, got, strict=True):
        assert (system.runs(name) >= 1) == (each.code == 0)


async def test_refused_request_is_answered_before_its_deadline(patient_system: System) -> None:
    """No work finishes before the first answer is read, so that answer must be a refusal."""
    system = patient_system
    release = asyncio.Event()
    for backend in system.backend_by_name.values():
        backend.release = release
    running = [
        asyncio.ensure_future(system.call(ingress(system), f"r{number}")) for number in range(20)
    ]
    done, pending = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
    assert [each.result().ran for each in done] == ["not-run"] * len(done)
    assert pending
    assert sum(backend.active for backend in system.backend_by_name.values()) > 0
    release.set()
    await asyncio.gather(*running)


@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ([(b"hoisthook-timeout-ms", b"-1")], 1005),
        ([(b"hoisthook-timeout-ms", b"nan")], 1005),
        ([(b"hoisthook-service", b"nowhere")], 1002),
    ],
)
async def test_bad_headers_are_refused(
    system: System, headers: list[tuple[bytes, bytes]], code: int
) -> None:
    got = await system.call(ingress(system), "r", headers=headers)
    assert (got.code, got.ran) == (code, "not-run")
    assert system.runs("r") == 0


async def test_non_repeatable_needs_an_issued_key(system: System) -> None:
    none = await system.call(ingress(system), "r", method=b"POST", body=b"5")
    plain = await post(system, "r", "4f1c-a-callers-own-key")
    assert (none.code, plain.code) == (1006, 1007)
    assert system.runs("r") == 0
    issued = plain.headers[b"hoisthook-issued-key"].decode()
    assert (await post(system, "r", issued)).code == 0


async def test_repeat_through_another_ingress_gets_the_first_answer(system: System) -> None:
    key = await system.issue_key("a")
    first = await post(system, "r", key, "a")
    again = await post(system, "r", key, "c")
    assert again.body == first.body
    assert again.headers[b"hoisthook-replayed"] == b"1"
    assert system.runs("r") == 1


async def test_same_key_twice_at_the_same_time_runs_once(system: System) -> None:
    for backend in system.backend_by_name.values():
        backend.work_seconds = 0.05
    key = await system.issue_key("a")
    got = await asyncio.gather(*(post(system, "r", key, "ac"[n % 2]) for n in range(6)))
    assert sorted(each.code for each in got) == [0, 3004, 3004, 3004, 3004, 3004]
    assert system.runs("r") == 1


async def test_answer_that_its_caller_did_not_wait_for_is_kept(system: System) -> None:
    for backend in system.backend_by_name.values():
        backend.work_seconds = 0.1
    key = await system.issue_key("a")
    system.relay_by_name["caller"].inject("sent", "cut")
    first = await system.call(
        system.relay_by_name["caller"].address, "r", method=b"POST", key=key, body=b"5"
    )
    assert first.status is None
    await system.until(lambda: system.runs("r") == 1)
    await system.until(lambda: all(b.active == 0 for b in system.backend_by_name.values()))
    again = await post(system, "r", key, "c")
    assert again.code == 0
    assert system.runs("r") == 1


async def test_replaced_holder_does_not_run_its_predecessors_keys(system: System) -> None:
    key = await system.issue_key("a")
    assert (await post(system, "r", key)).code == 0
    await system.crash("a")
    await system.start_node("a")
    node = system.node_by_name["c"]
    await system.until(
        lambda: node.table.get("a").incarnation == system.node_by_name["a"].incarnation
    )
    got = await post(system, "r", key, "c")
    assert (got.code, got.ran) == (3003, "unknown")
    assert system.runs("r") == 1


async def test_caller_that_goes_away_cancels_a_repeatable_request(
    unhedged_system: System,
) -> None:
    system = unhedged_system
    backends = system.backend_by_name.values()
    for backend in backends:
        backend.work_seconds = 0.35
    relay = system.relay_by_name["caller"]
    call = asyncio.ensure_future(system.call(relay.address, "r"))
    await system.until(lambda: sum(b.active for b in backends) == 1)
    relay.drop_connections()
    await call
    await system.until(lambda: sum(b.cancelled for b in backends) == 1)


async def test_deadline_is_handed_down_and_cancels(system: System) -> None:
    for backend in system.backend_by_name.values():
        backend.work_seconds = 5.0
    got = await system.call(ingress(system), "r", headers=[(b"hoisthook-timeout-ms", b"150")])
    assert (got.code, got.ran) == (3002, "unknown")
    heads = [head for b in system.backend_by_name.values() for head in b.headers]
    remaining = [int(h.split(b"hoisthook-timeout-ms: ")[1].split(b"\r\n")[0]) for h in heads]
    assert all(0 < each <= 150 for each in remaining)
    backends = system.backend_by_name.values()
    await system.until(lambda: sum(b.cancelled for b in backends) == len(heads))


async def test_reused_connection_that_drops_is_not_sent_again(system: System) -> None:
    """Resending a method that HTTP defines as idempotent would run the request twice."""
    key = await system.issue_key("a")
    await system.call(ingress(system), "warm-1")
    await system.call(ingress(system), "warm-2")
    for backend in system.backend_by_name.values():
        backend.truncate_before = b"HTTP"
    got = await system.call(ingress(system), "r", method=b"PUT", key=key, body=b"5")
    assert got.ran == "unknown"
    assert system.runs("r") == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/9 nonsense\r\n\r\n",
        b"",
    ],
)
async def test_broken_answer_is_never_a_complete_one(system: System, raw: bytes) -> None:
    for backend in system.backend_by_name.values():
        backend.raw_answer = lambda _: raw
        backend.truncate_before = b"!"
        backend._answer = lambda name, body, raw=raw: raw
    key = await system.issue_key("a")
    got = await post(system, "r", key)
    assert got.status is None or got.ran == "unknown"
    assert system.runs("r") == 1
    again = await post(system, "r", key, "c")
    assert again.code in (3005, 3006)


async def test_answer_without_a_length_is_numbered(system: System) -> None:
    for backend in system.backend_by_name.values():
        backend.raw_answer = lambda _: b"HTTP/1.1 200 OK\r\n\r\nno length"
    got = await system.call(ingress(system), "r")
    assert (got.code, got.ran) == (3007, "unknown")


async def test_surplus_bytes_reach_no_other_caller(system: System) -> None:
    complete = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    for backend in system.backend_by_name.values():
        backend.raw_answer = lambda name: complete.replace(b"ok", name[-2:].encode()) + complete
    for number in range(10, 30):
        got = await system.call(ingress(system), f"r{number}")
        assert got.status is None or got.code != 0 or got.body == str(number).encode()


async def test_shed_request_runs_elsewhere(system: System) -> None:
    shed = b"HTTP/1.1 503 Busy\r\nhoisthook-shed: 1\r\ncontent-length: 0\r\n\r\n"
    system.backend_by_name["b1"].raw_answer = lambda _: shed
    for number in range(10):
        got = await system.call(ingress(system), f"r{number}")
        assert got.body.split(b"|")[2] == b"b2"


async def test_long_bodies_stream_both_ways(system: System) -> None:
    body = b"x" * 300_000
    key = await system.issue_key("a")
    got = await system.call(ingress(system), "r", method=b"POST", key=key, body=body)
    assert got.code == 0
    assert got.body.split(b"|")[1] == body


async def test_late_repeatable_request_is_hedged(system: System) -> None:
    system.backend_by_name["b1"].work_seconds = 0.3
    for number in range(20):
        got = await system.call(ingress(system), f"r{number}")
        assert got.code == 0
    assert sum(system.runs(f"r{number}") for number in range(20)) <= 20 + 2


async def test_non_repeatable_request_is_not_hedged(system: System) -> None:
    for backend in system.backend_by_name.values():
        backend.work_seconds = 0.2
    key = await system.issue_key("a")
    assert (await post(system, "r", key)).code == 0
    assert system.runs("r") == 1


async def test_paused_node_refuses_until_it_has_caught_up(system: System) -> None:
    guard = system.node_by_name["a"].guard
    guard.stale = True
    guard._resumed_at = float("inf")
    got = await system.call(ingress(system), "r")
    assert (got.code, got.ran) == (2010, "not-run")
    guard._resumed_at = 0.0
    await system.until(lambda: not guard.stale)
    assert (await system.call(ingress(system), "r")).code == 0


async def test_paused_node_of_a_backend_server_refuses_and_another_runs_it(system: System) -> None:
    guard = system.node_by_name["b1"].guard
    guard.stale = True
    guard._resumed_at = float("inf")
    for number in range(6):
        got = await system.call(ingress(system), f"r{number}")
        assert got.body.split(b"|")[2] == b"b2"


async def test_pipelined_requests_are_answered_in_order(system: System) -> None:
    reader, writer = await asyncio.open_connection(*ingress(system))
    for name in (b"p1", b"p2", b"p3"):
        headers = [(b"host", b"x"), (b"hoisthook-service", SERVICE.encode()), (b"x-run", name)]
        writer.write(encode_request_head(b"GET", b"/x", headers))
    bodies = []
    for _ in range(3):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        bodies.append((await reader.readexactly(length)).split(b"|")[0])
    writer.close()
    assert bodies == [b"p1", b"p2", b"p3"]


async def test_paused_ingress_does_not_report_a_key_as_not_run(system: System) -> None:
    key = await system.issue_key("a")
    assert (await post(system, "r", key)).code == 0
    guard = system.node_by_name["c"].guard
    guard.stale = True
    guard._resumed_at = float("inf")
    got = await post(system, "r", key, "c")
    assert (got.code, got.ran) == (2010, "unknown")


async def test_node_whose_connections_drop_is_avoided_for_a_while(
    unhedged_system: System, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each call that was lost at such a node spent retry budget that the next call needed."""
    system = unhedged_system
    monkeypatch.setattr(hop_client, "LOST_BACKOFF_SECONDS", 60.0)
    system.backend_by_name["b2"].work_seconds = 0.02
    await asyncio.gather(*(system.call(ingress(system), f"warm{number}") for number in range(8)))
    await system.until(lambda: all(b.active == 0 for b in system.backend_by_name.values()))
    relay = system.relay_by_name["b1-hop"]
    await relay.restart(upstream=("127.0.0.1", 1))
    for number in range(10):
        assert (await system.call(ingress(system), f"r{number}")).code == 0
