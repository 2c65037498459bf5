"""gRPC service for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from hoisthook.configuration.change import Change
from hoisthook.configuration.change import ChangeRecord
from hoisthook.configuration.change import DeleteService
from hoisthook.configuration.change import PutService
from hoisthook.configuration.change import SetDrain
from hoisthook.configuration.change import SetEvacuation
from hoisthook.result_code import ResultCode
from hoisthook.rpc import operator_pb2 as pb
from hoisthook.rpc.operator_grpc import OperatorBase
from hoisthook.rpc.spec_codec import spec_from_message
from hoisthook.rpc.spec_codec import spec_to_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib.server import Stream

    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.configuration.configuration_writer import ConfigurationWriter
    from hoisthook.membership.member_table import MemberTable


class OperatorService(OperatorBase):
    """Implements the published schema on the state of this node.

    Parameters
    ----------
    writer : ConfigurationWriter
        Submits changes.
    state : ConfigurationState
        Configuration that is listed.
    table : MemberTable
        Members whose backend servers are listed.
    status : callable
        Returns the status message of the node.
    """

    def __init__(
        self,
        writer: ConfigurationWriter,
        state: ConfigurationState,
        table: MemberTable,
        status: Callable[[], pb.NodeStatusReply],
    ) -> None:
        self._configuration_writer = writer
        self._state = state
        self._table = table
        self._status = status

    async def PutService(  # noqa: N802
        self, stream: Stream[pb.PutServiceRequest, pb.ChangeReply]
    ) -> None:
        """Create or replace a service."""
        request = await stream.recv_message()
        assert request is not None
        change = PutService(spec_from_message(request.service))
        await stream.send_message(await self._submit(request.header, change))

    async def DeleteService(  # noqa: N802
        self, stream: Stream[pb.DeleteServiceRequest, pb.ChangeReply]
    ) -> None:
        """Remove a service."""
        request = await stream.recv_message()
        assert request is not None
        reply = await self._submit(request.header, DeleteService(request.name))
        await stream.send_message(reply)

    async def SetDrain(  # noqa: N802
        self, stream: Stream[pb.SetDrainRequest, pb.ChangeReply]
    ) -> None:
        """Drain a backend server, or let it take requests again."""
        request = await stream.recv_message()
        assert request is not None
        if not request.expected and not self._is_known(request.backend_server):
            detail = f"no node has announced backend server {request.backend_server!r}"
            await stream.send_message(
                _not_found(f"{detail}; use --expected for one that has not started yet")
            )
            return
        change = SetDrain(request.backend_server, request.drained)
        await stream.send_message(await self._submit(request.header, change))

    async def SetEvacuation(  # noqa: N802
        self, stream: Stream[pb.SetEvacuationRequest, pb.ChangeReply]
    ) -> None:
        """Evacuate a data centre, or let its backend servers take requests again."""
        request = await stream.recv_message()
        assert request is not None
        if not self._has_data_centre(request.data_centre):
            await stream.send_message(
                _not_found(f"no node is known in data centre {request.data_centre!r}")
            )
            return
        change = SetEvacuation(request.data_centre, request.evacuated)
        await stream.send_message(await self._submit(request.header, change))

    async def GetService(  # noqa: N802
        self, stream: Stream[pb.GetServiceRequest, pb.GetServiceReply]
    ) -> None:
        """Return one service."""
        request = await stream.recv_message()
        assert request is not None
        if request.name not in self._state.service_by_name:
            code = ResultCode.NOT_FOUND
            await stream.send_message(pb.GetServiceReply(code=code.number, code_name=code.name))
            return
        await stream.send_message(
            pb.GetServiceReply(code_name="OK", entry=self._entry(request.name))
        )

    async def ListServices(  # noqa: N802
        self, stream: Stream[pb.ListServicesRequest, pb.ListServicesReply]
    ) -> None:
        """Return all services."""
        await stream.recv_message()
        entries = [self._entry(name) for name in sorted(self._state.service_by_name)]
        await stream.send_message(pb.ListServicesReply(entries=entries))

    async def ListBackendServers(  # noqa: N802
        self, stream: Stream[pb.ListBackendServersRequest, pb.ListBackendServersReply]
    ) -> None:
        """Return the backend servers known to this node."""
        request = await stream.recv_message()
        assert request is not None
        found = [
            pb.BackendServer(
                id=member.backend_server,
                service=member.service,
                data_centre=member.data_centre,
                node=member.node,
                node_address=member.address,
                slots=member.slots,
                takes_work=member.takes_work and not member.has_departed,
                node_status=member.status.value,
                drained_by_operator=member.backend_server in self._state.drained,
                drain_revision=self._state.revision_by_key.get(f"drain/{member.backend_server}", 0),
            )
            for member in self._table
            if member.backend_server and request.service in ("", member.service)
        ]
        found.sort(key=lambda entry: entry.id)
        await stream.send_message(pb.ListBackendServersReply(backend_servers=found))

    async def History(  # noqa: N802
        self, stream: Stream[pb.HistoryRequest, pb.HistoryReply]
    ) -> None:
        """Return the newest changes, including those rejected in favour of a concurrent change."""
        request = await stream.recv_message()
        assert request is not None
        outcomes = (
            self._state.history[-request.limit :] if request.limit > 0 else self._state.history
        )
        entries = [
            pb.HistoryEntry(
                offset=outcome.offset,
                operation_id=outcome.operation_id,
                key=outcome.key,
                applied=outcome.applied,
                winner=outcome.winner,
                author=outcome.author,
            )
            for outcome in outcomes
        ]
        await stream.send_message(pb.HistoryReply(entries=entries))

    async def NodeStatus(  # noqa: N802
        self, stream: Stream[pb.NodeStatusRequest, pb.NodeStatusReply]
    ) -> None:
        """Return this node's status."""
        await stream.recv_message()
        await stream.send_message(self._status())

    async def _submit(self, header: pb.ChangeHeader, change: Change) -> pb.ChangeReply:
        record = ChangeRecord(header.operation_id, header.base_revision, change, header.author)
        outcome = await self._configuration_writer.submit(record)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            return pb.ChangeReply(
                code=failure.code.number,
                code_name=failure.code.name,
                detail=failure.detail,
                revision=failure.winner,
            )
        return pb.ChangeReply(code_name=ResultCode.OK.name, revision=outcome.ok_value.winner)

    def _is_known(self, backend_server: str) -> bool:
        if backend_server in self._state.drained:
            return True
        return any(member.backend_server == backend_server for member in self._table)

    def _has_data_centre(self, data_centre: str) -> bool:
        if data_centre in self._state.evacuated:
            return True
        return any(member.data_centre == data_centre for member in self._table)

    def _entry(self, name: str) -> pb.ServiceEntry:
        spec = self._state.service_by_name[name]
        revision = self._state.revision_by_key[f"service/{name}"]
        return pb.ServiceEntry(service=spec_to_message(spec), revision=revision)


def _not_found(detail: str) -> pb.ChangeReply:
    code = ResultCode.NOT_FOUND
    return pb.ChangeReply(code=code.number, code_name=code.name, detail=detail)
