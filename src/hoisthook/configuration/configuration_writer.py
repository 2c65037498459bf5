"""Takes operators' changes and says what became of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok
from result import Result

from hoisthook.configuration.change import problem_of
from hoisthook.configuration.configuration_follower import CHANGES_STREAM
from hoisthook.exceptions import AppendUnknownError
from hoisthook.exceptions import LogUnavailableError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.configuration.change import ChangeRecord
    from hoisthook.configuration.configuration_follower import ConfigurationFollower
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.configuration.configuration_state import Outcome
    from hoisthook.port.platform_log import PlatformLog

SETTLE_SECONDS = 5.0
# Appends of one change: the first, one after a kept connection that the other end had closed, and
# one more for an answer lost on the way.
MAX_APPENDS = 3


class ChangeFailure(msgspec.Struct, frozen=True):
    """Why a change is not in force.

    Attributes
    ----------
    code : ResultCode
        The numbered reason.
    detail : str
        What exactly.
    winner : int
        The key's present revision, after a lost race.
    """

    code: ResultCode
    detail: str
    winner: int = 0


class ConfigurationWriter:
    """Appends a change and answers from the fold, never from the append alone.

    "Accepted" is said only when the record has been read back in the log's order
    and won. An append whose answer was lost is looked for by its operation id; if
    the log answers and does not have it, it is appended again, which is harmless
    should the first one arrive after all: a record that stands there twice takes
    effect once. The operator is told that it is unknown only while the log stays
    away.

    Parameters
    ----------
    state : ConfigurationState
        The fold.
    follower : ConfigurationFollower
        Reads the log.
    log : PlatformLog
        Appended to.
    """

    def __init__(
        self, state: ConfigurationState, follower: ConfigurationFollower, log: PlatformLog
    ) -> None:
        self._state = state
        self._follower = follower
        self._log = log

    async def submit(self, record: ChangeRecord) -> Result[Outcome, ChangeFailure]:
        """Put a change in force, or say why not.

        Parameters
        ----------
        record : ChangeRecord
            The change with its base revision and operation id.

        Returns
        -------
        Result of Outcome or ChangeFailure
            The outcome's ``winner`` is the new revision.
        """
        problem = problem_of(record)
        if problem is not None:
            return Err(ChangeFailure(ResultCode.SPEC_INVALID, problem))
        known = self._state.outcome_by_operation.get(record.operation_id)
        if known is not None:
            return _judge(record, known)
        return await self._append(record)

    async def _append(self, record: ChangeRecord) -> Result[Outcome, ChangeFailure]:
        payload = msgspec.json.encode(record)
        lost = ""
        for _ in range(MAX_APPENDS):
            try:
                offset = await self._log.append(CHANGES_STREAM, payload)
            except LogUnavailableError as error:
                return _unavailable(error, lost)
            except AppendUnknownError as error:
                lost = error.detail
                if not await self._read_quietly():
                    break
                if record.operation_id in self._state.outcome_by_operation:
                    break
            else:
                return await self._settle(record, offset)
        return self._outcome(record, lost)

    async def _settle(self, record: ChangeRecord, offset: int) -> Result[Outcome, ChangeFailure]:
        await self._read_quietly()
        if not await self._follower.wait_for(offset, SETTLE_SECONDS):
            detail = f"record {offset} could not be read back"
            return Err(ChangeFailure(ResultCode.APPEND_UNKNOWN, detail))
        return self._outcome(record, "the record was passed over")

    async def _read_quietly(self) -> bool:
        """Read what the log has; return whether it answered."""
        try:
            await self._follower.read_log()
        except LogUnavailableError:
            return False
        return True

    def _outcome(self, record: ChangeRecord, detail: str) -> Result[Outcome, ChangeFailure]:
        outcome = self._state.outcome_by_operation.get(record.operation_id)
        if outcome is None:
            return Err(ChangeFailure(ResultCode.APPEND_UNKNOWN, detail))
        return _judge(record, outcome)


def _unavailable(error: LogUnavailableError, lost: str) -> Result[Outcome, ChangeFailure]:
    """Return what is known of a change that the log did not take, after one lost append or none."""
    if lost:
        return Err(ChangeFailure(ResultCode.APPEND_UNKNOWN, f"{lost}; then {error.detail}"))
    return Err(ChangeFailure(ResultCode.LOG_UNAVAILABLE, error.detail))


def _judge(record: ChangeRecord, outcome: Outcome) -> Result[Outcome, ChangeFailure]:
    if outcome.key != record.key:
        detail = f"operation {record.operation_id!r} changed {outcome.key}"
        return Err(ChangeFailure(ResultCode.OPERATION_ID_REUSED, detail))
    if not outcome.applied:
        detail = f"{outcome.key} is at revision {outcome.winner}"
        return Err(ChangeFailure(ResultCode.REVISION_CONFLICT, detail, outcome.winner))
    return Ok(outcome)
