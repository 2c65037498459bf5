from __future__ import annotations

import pytest
from hoisthook_platform.backend_wire import PlatformBackendWire
from hoisthook_platform.caller_wire import NOT_RUN_STATUSES
from hoisthook_platform.caller_wire import PlatformCallerWire
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.adapter.http.message import AnswerHead
from hoisthook.adapter.http.message import Header
from hoisthook.adapter.http.message import RequestHead
from hoisthook.identity import InstanceId
from hoisthook.identity import RequestId
from hoisthook.identity import ServiceName
from hoisthook.mesh.hop_header import Admission
from hoisthook.mesh.hop_header import HopHeader
from hoisthook.mesh.node_load import NodeLoad
from hoisthook.port.backend_wire import AnswerKind
from hoisthook.port.backend_wire import BackendRequestHead
from hoisthook.port.caller_wire import CallerRequest
from hoisthook.result_code import Ran
from hoisthook.result_code import ResultCode

SIGNED: Header = (b"x-response-signature", b"s")


def decode(*headers: Header) -> CallerRequest | ResultCode:
    return PlatformCallerWire().decode(RequestHead(b"GET", b"/a/b?c=/d", list(headers)))


def test_request_head_is_decoded_into_fields() -> None:
    request = decode(
        (b"host", b"h"), (b"x-request-id", b"1"), (b"x-deadline-ms", b"250"), (b"x-own", b"kept")
    )
    assert isinstance(request, CallerRequest)
    assert (request.request_id, request.host, request.path) == ("1", "h", "/a/b")
    assert request.time_left == 0.25
    assert request.headers == [(b"host", b"h"), (b"x-request-id", b"1"), (b"x-own", b"kept")]


def test_hop_by_hop_and_system_headers_are_not_forwarded() -> None:
    request = decode(
        (b"host", b"h"),
        (b"x-request-id", b"1"),
        (b"connection", b"close, x-mine"),
        (b"x-mine", b"1"),
        (b"keep-alive", b"timeout=1"),
        (b"transfer-encoding", b"chunked"),
        (b"x-caller-service", b"liar"),
        (b"x-expect-instance", b"liar"),
        (b"hoisthook-hop", b"liar"),
    )
    assert isinstance(request, CallerRequest)
    assert request.headers == [(b"host", b"h"), (b"x-request-id", b"1")]


@pytest.mark.parametrize("value", [b"", b"x", b"inf", b"nan"])
def test_deadline_that_is_no_number_is_none(value: bytes) -> None:
    request = decode((b"host", b"h"), (b"x-request-id", b"1"), (b"x-deadline-ms", value))
    assert isinstance(request, CallerRequest)
    assert request.time_left is None


def test_request_without_id_or_host_has_a_numbered_error() -> None:
    assert decode((b"host", b"h")) is ResultCode.REQUEST_UNNAMED
    assert decode((b"x-request-id", b"1")) is ResultCode.REQUEST_MALFORMED


@pytest.mark.parametrize("code", list(ResultCode))
def test_not_run_statuses_are_sent_only_for_codes_that_mean_not_run(code: ResultCode) -> None:
    refusal = PlatformCallerWire().refusal(code, 0.5)
    if refusal.status in NOT_RUN_STATUSES:
        assert code.ran is Ran.NOT_RUN
        assert (b"retry-after", b"0.500") in refusal.headers


def answer_kind(status: int, *headers: Header) -> AnswerKind:
    return PlatformBackendWire().read(AnswerHead(status, list(headers))).kind


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [SIGNED], AnswerKind.OWN),
        (200, [], AnswerKind.SPOILED),
        (206, [], AnswerKind.SPOILED),
        (200, [SIGNED, (b"content-encoding", b"gzip")], AnswerKind.SPOILED),
        (500, [], AnswerKind.OWN),
        (504, [SIGNED], AnswerKind.OWN),
        (503, [(b"x-not-executed", b"1")], AnswerKind.NOT_RUN),
        (400, [(b"x-not-executed", b"1")], AnswerKind.NOT_RUN),
        (421, [], AnswerKind.OTHER_INSTANCE),
        (503, [], AnswerKind.SPOILED),
        (429, [SIGNED], AnswerKind.SPOILED),
        (408, [], AnswerKind.SPOILED),
    ],
)
def test_answer_kind_claims_no_more_than_the_headers_prove(
    status: int, headers: list[Header], expected: AnswerKind
) -> None:
    assert answer_kind(status, *headers) is expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8", (3, 0, 8, 1.0)),
        (b"3, 1, 8, 400", (3, 1, 8, 4.0)),
        (b"3,0", None),
        (b"a,b,c", None),
    ],
)
def test_load_is_decoded_or_omitted(value: bytes, expected: tuple[object, ...] | None) -> None:
    load = PlatformBackendWire().read(AnswerHead(200, [SIGNED, (b"x-server-load", value)])).load
    decoded = None if load is None else (load.running, load.waiting, load.slots, load.slowdown)
    assert decoded == expected


def test_head_for_the_backend_server_names_incarnation_caller_and_time_left() -> None:
    head = BackendRequestHead(InstanceId("i"), ServiceName("shop"), 0.25)
    assert PlatformBackendWire().added_headers(head) == [
        (b"x-deadline-ms", b"250"),
        (b"x-caller-service", b"shop"),
        (b"x-expect-instance", b"i"),
    ]


def test_answer_with_another_requests_id_is_not_its_answer() -> None:
    wire = PlatformBackendWire()
    assert wire.answers(AnswerHead(200, [(b"x-request-id", b"1")]), RequestId("1"))
    assert not wire.answers(AnswerHead(200, [(b"x-request-id", b"2")]), RequestId("1"))
    assert wire.answers(AnswerHead(503, []), RequestId("1"))
    assert not wire.answers(AnswerHead(200, [SIGNED]), RequestId("1"))


def test_late_answer_to_a_request_is_not_a_health_answer() -> None:
    wire = PlatformBackendWire()
    assert wire.answers_health(AnswerHead(200, [(b"x-instance-id", b"i")]))
    assert not wire.answers_health(AnswerHead(200, [(b"x-request-id", b"1")]))


@given(st.binary(max_size=80))
def test_any_bytes_as_hop_or_load_header_are_decoded_or_rejected(value: bytes) -> None:
    HopHeader.decode(value)
    NodeLoad.decode(value)


@given(st.floats(0, 100), st.floats(-100, 100), st.integers(0, 9), st.integers(-1, 10**9))
def test_hop_header_survives_encoding_and_decoding(
    time_left: float, target_left: float, priority: int, version: int
) -> None:
    sent = HopHeader.decode(
        HopHeader(
            "s", "c", "r", "id", Admission.QUEUE, priority, time_left, target_left, version  # type: ignore[arg-type]
        ).encode()
    )
    assert sent is not None
    assert HopHeader.decode(sent.encode()) == sent
    assert abs(sent.time_left - time_left) <= 0.001
    assert (sent.priority, sent.configuration) == (priority, version)
