"""No credentials of a hostile caller let it act as another team or forge a team name."""

from __future__ import annotations

from hoisthook_platform.caller_wire import PlatformCallerWire
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.adapter.http.message import Header
from hoisthook.adapter.http.message import RequestHead
from hoisthook.identity import TeamName
from hoisthook.port.caller_wire import CallerRequest
from hoisthook.teams.team import Team
from hoisthook.teams.team_table import TeamTable

KEY = b"port-key"
TABLE = TeamTable([Team(TeamName("port"), (KEY,)), Team(TeamName("ferry"), (b"ferry-key",))])
BASE: list[Header] = [(b"host", b"h"), (b"x-request-id", b"1")]
PIECES = st.sampled_from(
    [b"Bearer", b"bearer", b" ", b"  ", b"\t", b",", b";", b"=", KEY, b"ferry-key", b"Basic", b""]
)
VALUES = st.lists(PIECES, max_size=6).map(b"".join) | st.binary(max_size=20)
# Header names in lower case, as the parser passes them on.
NAMES = st.sampled_from(
    [b"authorization", b"x-tenant-name", b"proxy-authorization", b"x-own", b"connection"]
)
SENT = st.lists(st.tuples(NAMES, VALUES), max_size=5)


@given(SENT)
def test_team_is_identified_by_exactly_one_complete_key(sent: list[Header]) -> None:
    request = PlatformCallerWire().decode(RequestHead(b"GET", b"/", BASE + sent))
    assert isinstance(request, CallerRequest)
    credentials = [value for name, value in sent if name == b"authorization"]
    team = TABLE.holder(request.key)
    if team is not None:
        assert len(credentials) == 1
        scheme, key = credentials[0].split(None, 1)
        assert scheme.lower() == b"bearer"
        assert key.strip() in team.keys


@given(SENT)
def test_keys_and_forged_team_names_are_not_forwarded(sent: list[Header]) -> None:
    request = PlatformCallerWire().decode(RequestHead(b"GET", b"/", BASE + sent))
    assert isinstance(request, CallerRequest)
    names = {name for name, _ in request.headers}
    assert not names & {b"authorization", b"x-tenant-name", b"proxy-authorization"}
