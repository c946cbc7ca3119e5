"""Messages between the system's own processes.

Every message travels in an `Envelope` with its sender's incarnation and the
highest configuration revision that the sender has in force.  The codec is
msgpack through msgspec; an unknown tag is refused by the decoder.  Large ones of some
kinds are deflated: links of small instances carry callers' bytes beside them.
"""

import zlib
from enum import StrEnum

import msgspec

from ragwortkeel.budget.clocks import Stamp
from ragwortkeel.budget.grant import Grant, Renewal
from ragwortkeel.budget.ledger import Ledger


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Base of all messages; the tag is the class name.

    Fields that hold their default are left out: most heartbeats say nothing else, and
    dozens of peers hear them twice a second.
    """


class VersionedObject(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration object with its platform version.

    `gone` says that it was deleted or retired, which no version undoes.
    """

    kind: str
    name: str
    version: int
    value: bytes
    gone: bool = False


class RefusalReason(StrEnum):
    """Why a sidecar did not run a dispatch; it certainly did not run."""

    DRAINING = "draining"
    STOPPING = "stopping"
    SEALED = "sealed"
    STALE_CONFIGURATION = "stale_configuration"
    WRONG_INCARNATION = "wrong_incarnation"
    TOMBSTONED = "tombstoned"
    NOT_ADMITTED = "not_admitted"
    OVERLOADED = "overloaded"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    STALE_EPOCH = "stale_epoch"


class FailureReason(StrEnum):
    """Why a run ended without a whole answer; it may have taken effect."""

    CRASHED = "crashed"
    TRUNCATED = "truncated"
    SILENT = "silent"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    UPSTREAM_ERROR = "upstream_error"
    RESERVATION_OUTRUN = "reservation_outrun"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_LOST = "answer_lost"


class RunState(StrEnum):
    """What a sidecar knows of a run."""

    UNSEEN = "unseen"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    TOMBSTONED = "tombstoned"


class Dispatch(Message):
    """Run this request at your upstream, within the reservation.

    `nonce` names this attempt; `reservation` is in tokens; `budget_seconds`
    is the time left until the caller's deadline.  `epoch` is the one of the
    sidecar's last heartbeat when the nonce was minted; a request that must not
    repeat is refused without it (docs/design/runs.md).
    `promised_seconds` is the profile's promise of the first token where it binds.
    With `alone` the sidecar first lets what runs there end, and starts nothing
    beside it.  `fingerprint` is the body's for the quarantine, where the router
    has changed the body; left empty, the sidecar takes it from `body`.
    """

    request_id: str
    nonce: str
    profile: str
    profile_version: int
    upstream_version: int
    sidecar: str
    reservation: int
    idempotent: bool
    target: str
    body: bytes
    stream: bool
    budget_seconds: float
    priority: int
    traceparent: str
    prefix: str = ""
    epoch: int = 0
    alone: bool = False
    fingerprint: str = ""
    replayable: bool = True
    promised_seconds: float = 0.0


class Refused(Message):
    """The dispatch did not run and never will under this nonce."""

    nonce: str
    reason: RefusalReason
    retry_after_seconds: float = 0.0
    newer: tuple[VersionedObject, ...] = ()


class Started(Message):
    """The upstream has accepted the run; status and content type of the answer."""

    nonce: str
    status: int
    content_type: str


class Chunk(Message):
    """Bytes of the answer from `offset` on."""

    nonce: str
    offset: int
    data: bytes


class Finished(Message):
    """The answer is whole at `length` bytes and cost `tokens`."""

    nonce: str
    status: int
    content_type: str
    length: int
    tokens: int


class Failed(Message):
    """The run ended without a whole answer, after `tokens` were spent.

    `reason` is a `FailureReason`.
    """

    nonce: str
    reason: str
    tokens: int
    may_have_run: bool


class Cancel(Message):
    """The caller is gone or was answered otherwise; stop the run."""

    nonce: str


class Locate(Message):
    """Ask whether a run of this request exists here."""

    profile: str
    request_id: str


class Located(Message):
    """Answer to `Locate`; `nonce` names the run to resume.

    `fingerprint` is of the body that runs there: one key with another body is a
    caller's mistake and must not get this answer.
    """

    profile: str
    request_id: str
    state: RunState
    nonce: str = ""
    tokens: int = 0
    fingerprint: str = ""


class Resume(Message):
    """Replay the answer of a run from `offset`, then follow it."""

    nonce: str
    offset: int


class Tombstone(Message):
    """Promise never to run this nonce, unless it already ran.

    `sidecar` is the incarnation that was to run it; any other answers `UNSEEN`,
    which promises nothing.  Left empty, the asker has to check who answers.
    """

    nonce: str
    sidecar: str = ""


class TombstoneResult(Message):
    """What the sidecar knew of the nonce; `TOMBSTONED` means it never ran."""

    nonce: str
    state: RunState


class Seal(Message):
    """Refuse this router incarnation from now on, and report what it ran."""

    router: str


class RunReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """What one run cost; the bill is the set of these by profile and request."""

    profile: str
    request_id: str
    nonce: str
    router: str
    sidecar: str
    tokens: int
    billable: bool = True


class Sealed(Message):
    """The seal is in force here; what the router ran here, in tokens by profile.

    `ran` is cumulative over the runs that have ended, `running` the reservations
    of those that have not.  The figures of a profile are final once it is not in
    `running`; the sidecar sends them again when the last run has ended.
    """

    router: str
    sidecar: str
    ran: dict[str, int]
    receipts: tuple[RunReceipt, ...]
    running: dict[str, int] = {}


class ReceiptsDurable(Message):
    """The receipts of these nonces are in the platform; drop them."""

    nonces: tuple[str, ...]


class OutcomeDurable(Message):
    """The intents of these must-not-repeat nonces hold their outcomes."""

    nonces: tuple[str, ...]


class Heartbeat(Message):
    """I am alive; a sidecar also reports its load, a router sends zeros.

    `epoch` is what dispatches minted from now on carry.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 0
    leaving: bool = False
    epoch: int = 0


class ConfigurationDigest(Message):
    """Hash by kind over all that the sender holds, and how far it is complete.

    `complete` is, by kind, the platform's revision up to which the sender has
    seen every change; `ages` is how many seconds ago the platform said so, to
    the sender or to whom it has it from.
    """

    roots: dict[str, int]
    complete: dict[str, int]
    ages: dict[str, float] = {}


class ConfigurationBranches(Message):
    """Hash of each branch of a kind, for a peer whose digest differs."""

    kind: str
    hashes: tuple[int, ...]


class ConfigurationLeaves(Message):
    """Hash of each leaf of one branch that differs."""

    kind: str
    branch: int
    hashes: tuple[int, ...]


class ConfigurationRanks(Message):
    """What the sender holds in some leaves, as ``(gone, version)`` by name."""

    kind: str
    leaves: tuple[int, ...]
    ranks: dict[str, tuple[bool, int]]


class ConfigurationPush(Message):
    """Objects the receiver may not have yet; where `more`, ask again."""

    objects: tuple[VersionedObject, ...]
    more: bool = False


class ConfigurationPull(Message):
    """Please push these objects of a kind where they outrank these ranks."""

    kind: str
    ranks: dict[str, tuple[bool, int]]


class CrashSeen(Message):
    """An upstream crashed with these bodies on it; passed on by who hears it first."""

    crash_id: str
    fingerprints: tuple[str, ...]
    alone: bool = False


class SliceRequest(Message):
    """A router short of tokens asks another to give part of its slice."""

    profile: str
    tokens: int
    transfer_id: str


class SliceTransfer(Message):
    """Tokens already taken off the sender's slice; resent until acknowledged."""

    profile: str
    tokens: int
    transfer_id: str


class SliceTransferred(Message):
    """The transfer is recorded; the sender may forget it."""

    transfer_id: str


class PlatformOperation(StrEnum):
    """What a process asks a peer to ask the platform for it."""

    GET = "get"
    LIST = "list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"


class PlatformCall(Message):
    """A call of the platform on behalf of a sender that does not reach it.

    `version` is that of a conditional update, or the revision to watch from;
    `seconds` is how long a watch waits.
    """

    call_id: int
    operation: PlatformOperation
    kind: str
    name: str = ""
    value: bytes = b""
    version: int = 0
    seconds: float = 0.0


class PlatformError(StrEnum):
    """How a relayed call failed; named as the errors of the platform client."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    EXISTS = "exists"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    REFUSED = "refused"


class PlatformAnswer(Message):
    """The answer to a relayed call.

    `objects` hold what was read or what changed, with `gone` for a deletion;
    `version` is that of a write, or the revision of a list or watch.
    """

    call_id: int
    error: PlatformError = PlatformError.NONE
    objects: tuple[VersionedObject, ...] = ()
    version: int = 0
    gap: bool = False


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one ingress process has at an upstream, in requests and tokens.

    On the wire it has no field names: dozens of loads go to each peer.
    """

    running: int
    memory_tokens: int
    unread_tokens: int


class AnnouncedLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an upstream's answer said of its rate limit, so many seconds ago.

    `per_second` is for the whole fleet; None ends an earlier limit.
    """

    per_second: float | None
    age_seconds: float


class IngressState(Message):
    """What an ingress process has where, and whom it knows.

    `address` is the sender's own, `addresses` are those of its peers; `relays` are
    those among them (or itself) that only relay calls of the platform;
    `writing_step` says how slowly the sender writes ledgers, see `budget.write_order`;
    `parts_by_upstream` holds, by upstream, tokens by chain of shared prompt parts that
    it began to read since the last such message, or all of them for a `PartsCall`;
    `upstreams_revision` is that of the newest change of an upstream's entry it knows;
    `evacuations_revision` and `evacuated_zones` are as in `EvacuatedZones`;
    `limit_by_upstream` holds what answers to the sender said lately.
    """

    node: str
    address: str
    addresses: tuple[str, ...]
    relays: tuple[str, ...]
    load_by_upstream: dict[str, UpstreamLoad]
    writing_step: int = 0
    parts_by_upstream: dict[str, dict[int, int]] = {}
    upstreams_revision: int = 0
    evacuations_revision: int = 0
    evacuated_zones: tuple[str, ...] = ()
    limit_by_upstream: dict[str, AnnouncedLimit] = {}


class EvacuatedZones(Message):
    """All evacuated availability zones as of a revision of the platform."""

    revision: int = 0
    zones: tuple[str, ...] = ()


class UpstreamChanges(Message):
    """Changes of upstreams' entries, from a process that watches the platform.

    Attributes
    ----------
    since, revision : int
        A receiver that has all changes up to the first has them up to the second now.
    objects : tuple of VersionedObject
        The entries that changed, with `gone` for those that vanished.
    lapse_seconds : float
        For so long entries may be missing because of an outage of the platform.
    """

    since: int
    revision: int
    objects: tuple[VersionedObject, ...]
    lapse_seconds: float = 0.0


class PartsCall(Message):
    """Asks for all that the receiver knows of shared prompt parts, after a start."""


class LoanRequest(Message):
    """An ingress process lacks tokens of a customer; see `budget.sizing.SliceNeed`."""

    customer: str
    lacking: int
    holding: int
    demand: int
    largest_request: int


class TokenLoan(Message):
    """What an ingress process does for a peer that lacks tokens.

    `tokens` it has charged to its own slice; `returned` it has given back to the
    ledger, where the peer may take them.  Both are 0 where it has none.
    """

    customer: str
    tokens: int = 0
    returned: int = 0


class RenewalCall(Message):
    """The sender is about to write the ledgers and would take renewals along."""


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """The clocks at a process's start, and which earlier starts it knows of.

    `latest` bounds the time of day from above by the clocks of the fleet, where that
    was known; see `budget.clocks`.
    """

    boot: float
    wall: float
    latest: float | None
    predecessors: tuple[str, ...]


class HandedRenewals(Message):
    """Renewals of one process that another may write along with its own.

    Attributes
    ----------
    holder : str
        Incarnation of the sender.
    stamp : Stamp
        When it was made; a later one of the same holder replaces it.
    urgent : bool
        Whether callers wait for it, so that it is to be written at once.
    start : Start or None
        Of a process whose earlier starts are still to be charged.
    wanted : tuple of str
        Customers without a renewal here whose ledgers the sender wants to see.
    """

    holder: str
    stamp: Stamp
    renewal_by_customer: dict[str, Renewal]
    urgent: bool = False
    start: Start | None = None
    wanted: tuple[str, ...] = ()


class WriteOutcome(StrEnum):
    """What became of a write.

    After `NOT_DONE` and `UNREACHABLE` nothing was written and never will be; the
    second says that the platform did not take the call.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class RenewalsWritten(Message):
    """What became of a peer's `HandedRenewals`.

    Attributes
    ----------
    boot : float
        Of the stamp of the renewals that this answers.
    revision : int
        Of the configuration whose budgets the ledgers hold.
    grant_by_customer : dict of str to Grant
        What was written for the holder.
    summary_by_customer : dict of str to Ledger
        The ledgers that the holder wants to see, after the write; see
        `budget.summary`.
    """

    boot: float
    outcome: WriteOutcome
    revision: int = 0
    grant_by_customer: dict[str, Grant] = {}
    summary_by_customer: dict[str, Ledger] = {}


class ClockQuestion(Message):
    """What time is it there?  `asked_at` is the asker's boot clock, in seconds."""

    asked_at: float


class ClockAnswer(Message):
    """The sender's time of day, in seconds, and the question's `asked_at`."""

    asked_at: float
    wall: float


ConfigurationMessage = (
    ConfigurationDigest
    | ConfigurationBranches
    | ConfigurationLeaves
    | ConfigurationRanks
    | ConfigurationPush
    | ConfigurationPull
)

AnyMessage = (
    Dispatch
    | Refused
    | Started
    | Chunk
    | Finished
    | Failed
    | Cancel
    | Locate
    | Located
    | Resume
    | Tombstone
    | TombstoneResult
    | Seal
    | Sealed
    | ReceiptsDurable
    | OutcomeDurable
    | Heartbeat
    | ConfigurationMessage
    | CrashSeen
    | SliceRequest
    | SliceTransfer
    | SliceTransferred
    | IngressState
    | UpstreamChanges
    | EvacuatedZones
    | PartsCall
    | PlatformCall
    | PlatformAnswer
    | LoanRequest
    | TokenLoan
    | RenewalCall
    | HandedRenewals
    | RenewalsWritten
    | ClockQuestion
    | ClockAnswer
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A message with who sent it and how new its configuration is."""

    sender: str
    revision: int
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)

DEFLATED_KINDS = (
    ConfigurationPush,
    HandedRenewals,
    IngressState,
    PlatformAnswer,
    PlatformCall,
    RenewalsWritten,
    UpstreamChanges,
)
"""What goes between entry instances and repeats names of fields, routes and holders.
What carries callers' bytes is left as it is, for the processor's sake."""

DEFLATED_FROM_BYTES = 1024
"""Smaller messages fit into one packet anyway."""

DEFLATE_LEVEL = 1
"""Of zlib: the quickest makes 10 KB of a configuration of 74, and 4 of a summary of
the ledgers of 10."""

_DEFLATED = b"\x78"
"""First byte of all that zlib makes; an envelope in msgpack begins with a map."""

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Inflated; several of the platform's largest values.  A few bytes from a stranger
must not fill the memory."""


def encode(envelope: Envelope) -> bytes:
    """Return the wire form."""
    data = _encoder.encode(envelope)
    if len(data) < DEFLATED_FROM_BYTES:
        return data
    if not isinstance(envelope.message, DEFLATED_KINDS):
        return data
    return zlib.compress(data, DEFLATE_LEVEL)


def decode(data: bytes) -> Envelope:
    """Return the envelope; `msgspec.DecodeError` where it is not one."""
    if data.startswith(_DEFLATED):
        data = _inflated(data)
    return _decoder.decode(data)


def _inflated(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        rv = inflater.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(str(exc)) from exc
    if not inflater.eof:
        raise msgspec.DecodeError("cut off, or larger than a message may be")
    return rv
