"""Finds the team that holds a key."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from hoisthook.teams.team import Team

# Of a key's digest in a log line: enough to find it again among thousands, nothing to guess by.
LOGGED_DIGITS = 8


class KeyFault(Enum):
    """Why operators' key names nobody."""

    EMPTY = "empty"
    SHARED = "held by two teams"


@dataclass(frozen=True, slots=True)
class UnusableKey:
    """A key that is passed over; all others hold.

    Attributes
    ----------
    team : Team
        Who was to hold it.
    digest : str
        Names the key in log lines.
    fault : KeyFault
        What is wrong with it.
    """

    team: Team
    digest: str
    fault: KeyFault


class TeamTable:
    """Teams by the digests of their keys.

    A lookup takes as long whether the first or the last letter of a key is wrong, since it is a
    digest that is looked up, so that nobody finds a key letter by letter.

    Parameters
    ----------
    teams : iterable of Team
        All teams of a configuration; none where it does not tell teams apart.

    Attributes
    ----------
    unusable : tuple of UnusableKey
        Keys that name nobody. One held by two teams would let each pass for the other.
    """

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self.by_name = {team.name: team for team in teams}
        holders: dict[bytes, list[Team]] = {}
        for team, key in self._keys():
            holders.setdefault(_digest(key), []).append(team)
        self._by_digest = {digest: held[0] for digest, held in holders.items() if len(held) == 1}
        self.unusable = tuple(self._faults(holders))

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def __len__(self) -> int:
        return len(self.by_name)

    def holder(self, key: bytes | None) -> Team | None:
        """Return the team that holds a key, or None if nobody does."""
        return None if key is None else self._by_digest.get(_digest(key))

    def _keys(self) -> Iterator[tuple[Team, bytes]]:
        for team in self.by_name.values():
            for key in dict.fromkeys(team.keys):
                if key:
                    yield team, key

    def _faults(self, holders: dict[bytes, list[Team]]) -> Iterator[UnusableKey]:
        for team in self.by_name.values():
            if b"" in team.keys:
                yield UnusableKey(team, "", KeyFault.EMPTY)
        for digest, held in holders.items():
            if len(held) > 1:
                for team in held:
                    yield UnusableKey(team, digest.hex()[:LOGGED_DIGITS], KeyFault.SHARED)


def logged_digest(key: bytes) -> str:
    """Return what names a key in a log line; the key itself is never written."""
    return _digest(key).hex()[:LOGGED_DIGITS]


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=16).digest()
