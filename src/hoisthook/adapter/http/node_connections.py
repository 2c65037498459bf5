"""Connections to other nodes, which carry a request only after the node has identified itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from hoisthook.adapter.http.message import encode_request_head
from hoisthook.adapter.http.stall_tolerant_timeout import stall_tolerant_timeout
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import UnreachableError

if TYPE_CHECKING:
    import asyncio

    from hoisthook.adapter.http.client_connection import ClientConnection
    from hoisthook.adapter.http.client_pool import ClientPool
    from hoisthook.adapter.http.message import AnswerHead
    from hoisthook.adapter.http.message import Header
    from hoisthook.adapter.http.server_exchange import ServerExchange
    from hoisthook.identity import Address

# Below the prefix that callers' requests must not use.
IDENTITY_PATH = b"/hoisthook/identity"
IDENTITY = b"hoisthook-identity"


class IdentityError(UnreachableError):
    """Something other than the expected node answers at its address; no request was sent to it.

    Parameters
    ----------
    detail : str
        What was expected, on one line.
    answer : AnswerHead
        The answer to the question for the identity.
    """

    def __init__(self, detail: str, answer: AnswerHead) -> None:
        super().__init__(detail)
        self.answer = answer

    @property
    def other_node(self) -> bytes | None:
        """Return the identity of the node that answered, or None if it stated none."""
        return self.answer.get(IDENTITY)


class UnidentifiedError(UnreachableError):
    """What accepts connections at a node's address does not state its identity in time."""


class OlderNodes(Protocol):
    """Recognizes nodes of earlier versions, which do not state their identity."""

    def question(self, identity: str) -> list[Header]:
        """Return headers that make an older node's answer tell whether it has the identity."""

    def is_proof(self, answer: AnswerHead) -> bool:
        """Return whether the answer can only be that of an older node with the identity."""


class Identification:
    """The first exchange on a connection to a node, which asks the node for its identity.

    Parameters
    ----------
    connection : ClientConnection
        New connection; marked with the identity once the node has stated it.
    address : Address
        The node's address.
    identity : str
        Identity that the node must state.
    older_nodes : OlderNodes
        Recognizes nodes of earlier versions.

    Attributes
    ----------
    answer : asyncio.Future of AnswerHead
        Set by `start`.
    """

    def __init__(
        self,
        connection: ClientConnection,
        address: Address,
        identity: str,
        older_nodes: OlderNodes,
    ) -> None:
        self._connection = connection
        self._address = address
        self._identity = identity
        self._older_nodes = older_nodes
        self.answer: asyncio.Future[AnswerHead]

    def start(self) -> None:
        """Send the question."""
        host = (b"host", self._address[0].encode())
        headers = [host, *self._older_nodes.question(self._identity)]
        self.answer = self._connection.send(encode_request_head(b"GET", IDENTITY_PATH, headers))

    async def complete(self) -> None:
        """Await the answer; the connection carries requests to the node afterwards.

        Raises
        ------
        IdentityError
            If something other than the node answers.
        UnidentifiedError
            If the connection ends before or with the answer.
        """
        connection = self._connection
        try:
            head = await self.answer
            if not self._is_from_node(head):
                raise IdentityError(f"{self._where}: not node {self._identity}", head)
            while await connection.body.read():
                pass
        except BrokenExchangeError as error:
            raise UnidentifiedError(f"{self._where}: no identity: {error!r}") from error
        if not connection.reusable:
            raise UnidentifiedError(f"{self._where}: closed after its identity")
        connection.identity = self._identity

    @property
    def _where(self) -> str:
        return f"{self._address[0]}:{self._address[1]}"

    def _is_from_node(self, answer: AnswerHead) -> bool:
        stated = answer.get(IDENTITY)
        if stated is None:
            return self._older_nodes.is_proof(answer)
        return stated == self._identity.encode()


class NodeConnections:
    """Provides connections on which a given node, and nothing else, answers.

    A node's address may be taken by another program as soon as the node has ended, while other
    nodes still route requests there. A connection stays with one process, so it is identified once:
    the first exchange on it asks for the identity, and a request follows only on the right answer.

    Parameters
    ----------
    pool : ClientPool
        Connections to other nodes; may also hold some that were not identified.
    older_nodes : OlderNodes
        Recognizes nodes of earlier versions.
    """

    def __init__(self, pool: ClientPool, older_nodes: OlderNodes) -> None:
        self._pool = pool
        self._older_nodes = older_nodes

    async def acquire(self, address: Address, identity: str, timeout: float) -> ClientConnection:
        """Return an identified connection, idle or new.

        Parameters
        ----------
        address : Address
            The node's address.
        identity : str
            Identity that the node must state.
        timeout : float
            Time to open the connection, and again to identify the node, in seconds.

        Raises
        ------
        IdentityError
            If something other than the node answers.
        UnidentifiedError
            If nothing usable answers on the connection in time.
        UnreachableError
            If no connection could be opened.
        """
        connection = self.take_idle(address, identity)
        if connection is not None:
            return connection
        connection = await self._pool.open(address, timeout)
        identification = self.identification(connection, address, identity)
        try:
            async with stall_tolerant_timeout(timeout):
                identification.start()
                await identification.complete()
        except TimeoutError as error:
            connection.close()
            raise UnidentifiedError(f"{address[0]}:{address[1]}: no identity in time") from error
        except BaseException:
            connection.close()
            raise
        return connection

    def take_idle(self, address: Address, identity: str) -> ClientConnection | None:
        """Return an idle connection to the node, or None."""
        while (idle := self._pool.take_idle(address)) is not None:
            if idle.identity == identity:
                return idle
            # Of another process, or opened for a message that may go to anything.
            idle.close()
        return None

    def identification(
        self, connection: ClientConnection, address: Address, identity: str
    ) -> Identification:
        """Return the identification of a new connection, not started yet."""
        return Identification(connection, address, identity, self._older_nodes)


def answer_identity(exchange: ServerExchange, identity: str) -> None:
    """Answer another node's question for this node's identity."""
    exchange.respond(200, [(IDENTITY, identity.encode())])
