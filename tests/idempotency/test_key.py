from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.idempotency.key import Key
from hoisthook.idempotency.key import parse_key


def make_key(signature: str = "s") -> Key:
    return Key("n-1", "abc123", "svc", 12, "1x2", signature)


def test_round_trip() -> None:
    assert parse_key(make_key().text) == make_key()


def test_quoted_as_a_structured_string_is_accepted() -> None:
    assert parse_key(f'"{make_key().text}"') == make_key()


def test_signature_covers_the_service() -> None:
    secret = b"k" * 32
    signed = make_key(make_key().sign(secret))
    assert signed.is_signed_by(secret)
    other = Key("n-1", "abc123", "other", 12, "1x2", signed.signature)
    assert not other.is_signed_by(secret)


@given(st.text(max_size=400))
def test_any_text_is_a_key_or_none(text: str) -> None:
    parse_key(text)


@given(st.from_regex(r"hk1(\.[0-9a-z²٣-]{0,6}){6}", fullmatch=True))
def test_parsed_keys_survive_a_round_trip(text: str) -> None:
    key = parse_key(text)
    assert key is None or parse_key(key.text) == key
