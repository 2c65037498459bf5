"""Bytes that are no answer never reach a caller as one, whichever node is beside the server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from standin.published_configuration import RouteOptions

if TYPE_CHECKING:
    from standin.mesh_system import MeshSystem

BODY = b"body of the backend server"
BAD_GATEWAY = 502
STATUS_LINE = b"HTTP/1.1 200 OK"
LENGTH = b"content-length: %d" % len(BODY)
CHUNKED = b"transfer-encoding: chunked"
# Status line, and the headers besides id and signature.
MALFORMED = {
    "status 000": (b"HTTP/1.1 000 OK", LENGTH),
    "status 099": (b"HTTP/1.1 099 OK", LENGTH),
    "status of two digits": (b"HTTP/1.1 20 OK", LENGTH),
    "status 600": (b"HTTP/1.1 600 OK", LENGTH),
    "status 999": (b"HTTP/1.1 999 OK", LENGTH),
    "version 0.9": (b"HTTP/0.9 200 OK", LENGTH),
    "version 2.0": (b"HTTP/2.0 200 OK", LENGTH),
    "control character in the reason phrase": (b"HTTP/1.1 200 O\x01K", LENGTH),
    "chunked twice": (STATUS_LINE, CHUNKED + b"\r\n" + CHUNKED),
    "chunked twice in one line": (STATUS_LINE, CHUNKED + b", chunked"),
    "another transfer coding": (STATUS_LINE, b"transfer-encoding: gzip, chunked"),
    "id of another request beside the right one": (STATUS_LINE, b"x-request-id: q0\r\n" + LENGTH),
    "blank in a field name": (STATUS_LINE, b"a b: c\r\n" + LENGTH),
    "blank before the colon": (STATUS_LINE, b"ab : c\r\n" + LENGTH),
    "tab in a field name": (STATUS_LINE, b"a\tb: c\r\n" + LENGTH),
    "control character in a field name": (STATUS_LINE, b"a\x01b: c\r\n" + LENGTH),
    "NUL in a field name": (STATUS_LINE, b"a\x00b: c\r\n" + LENGTH),
    "DEL in a field name": (STATUS_LINE, b"a\x7fb: c\r\n" + LENGTH),
    "byte over 127 in a field name": (STATUS_LINE, b"a\xe9b: c\r\n" + LENGTH),
    "bracket in a field name": (STATUS_LINE, b"a[b: c\r\n" + LENGTH),
    "empty field name": (STATUS_LINE, b": c\r\n" + LENGTH),
    "line without a colon": (STATUS_LINE, b"abc\r\n" + LENGTH),
    "folded line": (STATUS_LINE, b"a: b\r\n c\r\n" + LENGTH),
    "control character in a value": (STATUS_LINE, b"a: b\x01c\r\n" + LENGTH),
    "two lengths": (STATUS_LINE, LENGTH + b"\r\ncontent-length: 1"),
    "length and chunked": (STATUS_LINE, LENGTH + b"\r\n" + CHUNKED),
    "negative length": (STATUS_LINE, b"content-length: -1"),
}


def malformed(kind: str, request_id: bytes) -> bytes:
    status_line, headers = MALFORMED[kind]
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY) if CHUNKED in headers else BODY
    named = b"x-request-id: " + request_id + b"\r\nx-response-signature: sound\r\n"
    return status_line + b"\r\n" + named + headers + b"\r\n\r\n" + body


@pytest.mark.parametrize("is_beside", [True, False], ids=["beside", "through another node"])
@pytest.mark.parametrize("is_safe", [True, False], ids=["safe", "unsafe"])
@pytest.mark.parametrize("kind", MALFORMED)
async def test_malformed_answer_is_a_failure_of_its_own(
    system: MeshSystem, kind: str, *, is_safe: bool, is_beside: bool
) -> None:
    """Guards against a caller that gets as an answer what a server in trouble sent."""
    server = await system.add("shop")
    other = await system.add("front")
    system.merge_all_peers()
    system.publish(1, RouteOptions("shop", safe=is_safe, attempts=1))
    await system.until_configured(1)
    server.backend.raw_answer = lambda request_id: malformed(kind, request_id)
    ingress = server if is_beside else other
    status, headers, body = await system.call(ingress, method=b"POST", body=b"x")
    assert status == BAD_GATEWAY
    assert b"x-response-signature" not in headers
    assert BODY not in body
    server.backend.raw_answer = None
    assert (await system.call(ingress, method=b"POST", body=b"x"))[0] == 200
