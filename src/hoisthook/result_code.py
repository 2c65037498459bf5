"""Numbered result codes of refusals, failures and settings errors."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """Whether the backend server ran the request, as far as hoisthook knows."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CodeEntry:
    """Entry of one result code in the published table.

    Attributes
    ----------
    number : int
        Stable number, shown to callers and in logs.
    http_status : int
        HTTP status of the answer to a caller; 0 if the code occurs in no HTTP answer.
    ran : Ran
        Whether the request ran.
    meaning : str
        Explanation in one sentence.
    action : str
        What the caller or operator should do.
    """

    number: int
    http_status: int
    ran: Ran
    meaning: str
    action: str


class ResultCode(Enum):
    """All result codes; the value of a member is its entry in the published table."""

    OK = CodeEntry(0, 200, Ran.RAN, "The backend server's own answer follows.", "Use the answer.")

    SERVICE_UNNAMED = CodeEntry(
        1001, 400, Ran.NOT_RUN, "The request names no service.", "Set hoisthook-service."
    )
    SERVICE_UNKNOWN = CodeEntry(
        1002, 404, Ran.NOT_RUN, "No such service is configured.", "Correct the name or create it."
    )
    REQUEST_MALFORMED = CodeEntry(
        1003, 400, Ran.NOT_RUN, "The request is not valid HTTP/1.1.", "Correct the request."
    )
    REQUEST_TOO_LARGE = CodeEntry(
        1004, 431, Ran.NOT_RUN, "The request's head exceeds its bound.", "Send fewer headers."
    )
    TIMEOUT_INVALID = CodeEntry(
        1005,
        400,
        Ran.NOT_RUN,
        "hoisthook-timeout-ms is not a positive number.",
        "Correct the header.",
    )
    KEY_REQUIRED = CodeEntry(
        1006,
        428,
        Ran.NOT_RUN,
        "A non-repeatable request needs an Idempotency-Key issued by a node.",
        "Send again with the key in this answer's hoisthook-issued-key.",
    )
    KEY_MALFORMED = CodeEntry(
        1007,
        428,
        Ran.NOT_RUN,
        "The Idempotency-Key was not issued by a node for this service.",
        "Send again with the key in this answer's hoisthook-issued-key.",
    )
    KEY_EXPIRED = CodeEntry(
        1008,
        410,
        Ran.UNKNOWN,
        "The key's lifetime is over; an earlier send may have run, this one did not.",
        "Check the outcome in the application.",
    )
    KEY_MISUSED = CodeEntry(
        1009,
        422,
        Ran.NOT_RUN,
        "The key was used before with another request.",
        "Ask for a new key for a new request.",
    )
    REQUEST_TIMEOUT = CodeEntry(
        1010, 408, Ran.NOT_RUN, "The request did not arrive in time.", "Send faster."
    )
    PATH_RESERVED = CodeEntry(
        1011, 404, Ran.NOT_RUN, "No such control path.", "Paths below /hoisthook/ are reserved."
    )

    ROUTE_UNKNOWN = CodeEntry(
        1012, 404, Ran.NOT_RUN, "No route takes the host and path.", "Correct them or add a route."
    )
    BODY_TOO_LARGE = CodeEntry(
        1013, 413, Ran.NOT_RUN, "The request's body exceeds its bound.", "Send a smaller body."
    )
    REQUEST_UNNAMED = CodeEntry(
        1014, 400, Ran.NOT_RUN, "The request bears no id.", "Give each request an id."
    )

    TEAM_KEY_UNKNOWN = CodeEntry(
        1015, 401, Ran.NOT_RUN, "The request bears no key that a team holds.", "Send a team's key."
    )

    OVERLOADED = CodeEntry(
        2001, 503, Ran.NOT_RUN, "Every backend server tried is full.", "Come back as told."
    )
    NO_BACKEND_SERVER = CodeEntry(
        2002, 503, Ran.NOT_RUN, "No backend server of the service is known.", "Come back as told."
    )
    BACKEND_SERVER_DRAINING = CodeEntry(
        2003, 503, Ran.NOT_RUN, "The backend server takes no new work.", "Another is tried."
    )
    DEADLINE_PASSED = CodeEntry(
        2004, 504, Ran.NOT_RUN, "The deadline passed before the request was sent.", "Send again."
    )
    CALLER_OVER_SHARE = CodeEntry(
        2005, 429, Ran.NOT_RUN, "The caller holds its fair share already.", "Come back as told."
    )
    SLOTS_FULL = CodeEntry(
        2006, 503, Ran.NOT_RUN, "The backend server's slots are taken.", "Another is tried."
    )
    BACKEND_SERVER_EJECTED = CodeEntry(
        2007, 503, Ran.NOT_RUN, "The backend server fails or stalls.", "Another is tried."
    )
    INCARNATION_MISMATCH = CodeEntry(
        2008, 503, Ran.NOT_RUN, "The node addressed was replaced.", "Another is tried."
    )
    NODE_STOPPING = CodeEntry(
        2009, 503, Ran.NOT_RUN, "The node is shutting down.", "Use another node."
    )
    NODE_RESUMING = CodeEntry(
        2010, 503, Ran.NOT_RUN, "The node was paused and brings itself up to date.", "Try again."
    )
    ATTEMPT_REPLAYED = CodeEntry(
        2011, 503, Ran.UNKNOWN, "The same attempt arrived twice.", "The first copy decides."
    )
    UNREACHABLE = CodeEntry(
        2012, 503, Ran.NOT_RUN, "No connection could be opened.", "Another is tried."
    )
    KEYS_FULL = CodeEntry(
        2013, 503, Ran.NOT_RUN, "The node holds as many keys as it may.", "Come back as told."
    )
    CONFIGURATION_MISSING = CodeEntry(
        2014, 503, Ran.NOT_RUN, "The node has no configuration yet.", "Come back as told."
    )
    BACKEND_SERVER_SHED = CodeEntry(
        2015, 503, Ran.NOT_RUN, "The backend server shed the request.", "Another is tried."
    )

    BACKEND_SERVER_SLOW = CodeEntry(
        2016, 503, Ran.NOT_RUN, "Work takes too long there at this moment.", "Another is tried."
    )
    BACKEND_SERVER_REPLACED = CodeEntry(
        2017, 503, Ran.NOT_RUN, "Another incarnation answers at its address.", "Another is tried."
    )
    SERVICE_ELSEWHERE = CodeEntry(
        2018, 503, Ran.NOT_RUN, "The node serves another service.", "Another is tried."
    )
    QUEUE_TIMEOUT = CodeEntry(
        2019, 503, Ran.NOT_RUN, "No slot became free in time.", "Come back as told."
    )

    NODE_LEAVING = CodeEntry(
        2020, 503, Ran.NOT_RUN, "The node is about to stop; it may wait there.", "Another is tried."
    )

    NODE_SILENT = CodeEntry(
        2021,
        503,
        Ran.NOT_RUN,
        "The node did not ask for the request in time, so it will not run it.",
        "Another is tried.",
    )

    BACKEND_SERVER_COLD = CodeEntry(
        2022, 503, Ran.NOT_RUN, "It is cold and gets no more this second.", "Another is tried."
    )

    DATA_CENTRE_EVACUATED = CodeEntry(
        2023, 503, Ran.NOT_RUN, "Operators have evacuated its data centre.", "Another is tried."
    )

    WORK_ENDS_SERVERS = CodeEntry(
        2024,
        503,
        Ran.NOT_RUN,
        "Several backend servers ended while they ran the same work.",
        "Do not repeat it; operators find it by its work in the log.",
    )

    TEAM_OVER_QUOTA = CodeEntry(
        2025, 429, Ran.NOT_RUN, "The team asks more than its quota.", "Come back as told."
    )
    TEAM_QUOTA_UNKNOWN = CodeEntry(
        2026,
        503,
        Ran.NOT_RUN,
        "No node that gives out the team's quota answers.",
        "Come back as told.",
    )

    TEAM_KEYS_UNCONFIRMED = CodeEntry(
        2027,
        503,
        Ran.NOT_RUN,
        "The node has not heard for too long whether keys were taken away.",
        "Use another node.",
    )

    RETRY_BUDGET_SPENT = CodeEntry(
        2028,
        503,
        Ran.NOT_RUN,
        "Its service has had as many repeats as operators allow.",
        "Come back as told.",
    )

    NODE_MEMORY_FULL = CodeEntry(
        2029, 503, Ran.NOT_RUN, "The node has no memory for its body now.", "Come back as told."
    )

    ANSWER_LOST = CodeEntry(
        3001, 502, Ran.UNKNOWN, "The answer broke off or never came.", "Repeat with the same key."
    )
    DEADLINE_DURING_RUN = CodeEntry(
        3002, 504, Ran.UNKNOWN, "The deadline passed while it ran.", "Repeat with the same key."
    )
    HOLDER_GONE = CodeEntry(
        3003,
        409,
        Ran.UNKNOWN,
        "The node that remembers this key is gone.",
        "Check the outcome in the application.",
    )
    KEY_IN_PROGRESS = CodeEntry(
        3004, 409, Ran.UNKNOWN, "The first send with this key still runs.", "Come back as told."
    )
    ANSWER_NOT_KEPT = CodeEntry(
        3005, 409, Ran.RAN, "It ran once; its answer is no longer held.", "Do not send it again."
    )
    OUTCOME_UNKNOWN = CodeEntry(
        3006,
        409,
        Ran.UNKNOWN,
        "An earlier send with this key was lost on the way; this one did not run.",
        "Check the outcome in the application.",
    )
    ANSWER_UNFRAMED = CodeEntry(
        3007,
        502,
        Ran.UNKNOWN,
        "The backend server's answer states no length, so its end cannot be proved.",
        "Let the backend server send Content-Length or chunks.",
    )
    HOLDER_UNREACHABLE = CodeEntry(
        3008,
        503,
        Ran.UNKNOWN,
        "The node that remembers this key does not answer.",
        "Repeat with the same key as told.",
    )

    ANSWER_SPOILED = CodeEntry(
        3009,
        502,
        Ran.UNKNOWN,
        "The backend server's answer is not one that it may give.",
        "Repeat if the request is repeatable.",
    )

    ANSWER_TOO_LARGE = CodeEntry(
        3010,
        502,
        Ran.UNKNOWN,
        "An answer exceeds a bound on its size or on its parts.",
        "Repeat if the request is repeatable; see operations.",
    )
    REVISION_CONFLICT = CodeEntry(
        4001, 0, Ran.NOT_RUN, "Another change won.", "Read the winner's revision and decide anew."
    )
    LOG_UNAVAILABLE = CodeEntry(
        4002, 0, Ran.NOT_RUN, "The log took no record; nothing changed.", "Repeat later."
    )
    APPEND_UNKNOWN = CodeEntry(
        4003, 0, Ran.UNKNOWN, "The log's answer was lost.", "Repeat with the same operation id."
    )
    SPEC_INVALID = CodeEntry(
        4004, 0, Ran.NOT_RUN, "The change breaks a rule.", "Correct the field named."
    )
    OPERATION_ID_REUSED = CodeEntry(
        4005, 0, Ran.NOT_RUN, "The operation id belongs to another change.", "Use a new id."
    )
    RECORD_UNREADABLE = CodeEntry(
        4006, 0, Ran.NOT_RUN, "A log record cannot be read; it is passed over.", "See operations."
    )
    NOT_FOUND = CodeEntry(
        4007, 0, Ran.NOT_RUN, "No such service, backend server or data centre.", "Check it."
    )

    STORE_UNAVAILABLE = CodeEntry(
        4008, 0, Ran.NOT_RUN, "The platform's store gave no usable answer.", "It is tried again."
    )
    ANNOUNCEMENT_UNREADABLE = CodeEntry(
        4009,
        0,
        Ran.NOT_RUN,
        "An announcement cannot be read or is another's.",
        "Check who sent it.",
    )
    PEER_MESSAGE_UNREADABLE = CodeEntry(
        4010,
        0,
        Ran.NOT_RUN,
        "A node's message cannot be read; it is passed over.",
        "See operations.",
    )

    TEAM_KEY_UNUSABLE = CodeEntry(
        4011,
        0,
        Ran.NOT_RUN,
        "A team's key is empty or held by two teams; it names nobody.",
        "Give each team keys of its own.",
    )

    SERVER_LIMIT_UNREADABLE = CodeEntry(
        4012,
        0,
        Ran.NOT_RUN,
        "A backend server names a limit that is not a decimal number; it is ignored.",
        "Correct the backend server.",
    )
    ANNOUNCEMENT_SUPERSEDED = CodeEntry(
        4013,
        0,
        Ran.NOT_RUN,
        "An announcement of an earlier incarnation under the same id binds nobody.",
        "Check the clock of its sender if that still runs.",
    )

    SETTINGS_UNREADABLE = CodeEntry(
        5001, 0, Ran.NOT_RUN, "The settings file cannot be read.", "Check path and permissions."
    )
    SETTINGS_SYNTAX = CodeEntry(
        5002, 0, Ran.NOT_RUN, "The settings file is not valid TOML.", "Correct the line named."
    )
    SETTINGS_INVALID = CodeEntry(
        5003, 0, Ran.NOT_RUN, "A key is unknown, missing or of the wrong type.", "Correct the key."
    )
    SETTINGS_VALUE = CodeEntry(
        5004, 0, Ran.NOT_RUN, "A value breaks its rule.", "Correct the value named."
    )
    PORT_UNAVAILABLE = CodeEntry(
        5005, 0, Ran.NOT_RUN, "A listening address cannot be opened.", "Free or change it."
    )
    OPERATOR_CALL_FAILED = CodeEntry(
        5006, 0, Ran.UNKNOWN, "The operators' call got no answer.", "Repeat with the same id."
    )

    LOG_FILE_UNREADABLE = CodeEntry(
        5007, 0, Ran.NOT_RUN, "A log file cannot be read.", "Check path and permissions."
    )

    @property
    def number(self) -> int:
        """Return the stable number."""
        return self.value.number

    @property
    def ran(self) -> Ran:
        """Return whether the request ran."""
        return self.value.ran


BY_NUMBER = {code.number: code for code in ResultCode}
