"""Lookup of the team that holds a key."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from hoisthook.teams.team import Team

# Hex digits of a key's digest in a log line: enough to find it among thousands of keys, too few to
# guess it by.
LOGGED_DIGITS = 8


class KeyFault(Enum):
    """Why a configured key identifies no team."""

    EMPTY = "empty"
    SHARED = "held by two teams"


@dataclass(frozen=True, slots=True)
class UnusableKey:
    """A configured key that is ignored; all other keys are valid.

    Attributes
    ----------
    team : Team
        The team for which it is configured.
    digest : str
        Identifies the key in log lines.
    fault : KeyFault
        Why it is ignored.
    """

    team: Team
    digest: str
    fault: KeyFault


class TeamTable:
    """Teams by the digests of their keys.

    Keys are looked up by digest, so that the time of a lookup does not tell how many leading
    characters of a key are right, and a key cannot be guessed character by character.

    Parameters
    ----------
    teams : iterable of Team
        All teams of a configuration; empty if it has no teams.

    Attributes
    ----------
    unusable : tuple of UnusableKey
        Keys that identify no team. A key of two teams would let each act as the other.
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
        """Return the team that holds a key, or None."""
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
    """Return the digest that identifies a key in log lines; the key itself is never logged."""
    return _digest(key).hex()[:LOGGED_DIGITS]


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=16).digest()
