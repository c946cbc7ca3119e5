"""Messages between the processes of the fleet.

Every message is sent in an `Envelope` with the sender's incarnation and the highest
configuration revision that is in force at the sender.  The codec is msgpack through
msgspec; the decoder refuses an unknown tag.  Large messages of some classes are
deflated, because the links of small instances also carry callers' bytes.
"""

import zlib
from enum import StrEnum

import msgspec

from ragwortkeel.budget.clocks import Stamp
from ragwortkeel.budget.grant import Grant, Renewal
from ragwortkeel.budget.ledger import Ledger


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True):
    """Base of all messages; the tag is the class name.

    Fields that hold their default are not sent: most heartbeats consist of defaults,
    and each ingress process sends one to dozens of peers twice a second.
    """


class VersionedObject(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration object with its platform version.

    `gone` marks a deleted or retired object; no later version restores it.
    """

    kind: str
    name: str
    version: int
    value: bytes
    gone: bool = False


class RefusalReason(StrEnum):
    """Reason why a sidecar refused a dispatch, which therefore never ran."""

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
    """Reason why a run ended without a complete answer; it may have taken effect."""

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
    """State of a run at a sidecar."""

    UNSEEN = "unseen"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    TOMBSTONED = "tombstoned"


class Dispatch(Message):
    """Order to run a request at the sidecar's upstream, within the reservation.

    `nonce` identifies this attempt.  `reservation` is in tokens.  `budget_seconds`
    is the time left until the caller's deadline.  `epoch` is the epoch in the
    sidecar's last heartbeat before the nonce was created; a request that must not
    repeat is refused without it (docs/design/runs.md).  `promised_seconds` is the time
    to the first token that the profile promises, or 0 where no promise applies.
    With `alone` the sidecar waits until the runs at the upstream have ended, and
    starts no other run beside this one.  `fingerprint` identifies the original body
    for the quarantine where the router has changed the body; where it is empty, the
    sidecar computes it from `body`.
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
    """Refusal of a dispatch: it did not run and never will under this nonce."""

    nonce: str
    reason: RefusalReason
    retry_after_seconds: float = 0.0
    newer: tuple[VersionedObject, ...] = ()


class Started(Message):
    """Start of a run's answer, with the upstream's status and content type."""

    nonce: str
    status: int
    content_type: str


class Chunk(Message):
    """Bytes of a run's answer from `offset` on."""

    nonce: str
    offset: int
    data: bytes


class Finished(Message):
    """End of a run with a complete answer of `length` bytes that cost `tokens`."""

    nonce: str
    status: int
    content_type: str
    length: int
    tokens: int


class Failed(Message):
    """End of a run without a complete answer, after `tokens` were spent.

    `reason` is a `FailureReason`.
    """

    nonce: str
    reason: str
    tokens: int
    may_have_run: bool


class Cancel(Message):
    """Order to stop a run whose caller disconnected or already has an answer."""

    nonce: str


class Locate(Message):
    """Question whether the receiver has a run of this request."""

    profile: str
    request_id: str


class Located(Message):
    """Answer to `Locate`; `nonce` identifies the run to resume.

    `fingerprint` identifies the body of that run.  A request with the same key and
    another body is a mistake of the caller and must not get the answer of this run.
    """

    profile: str
    request_id: str
    state: RunState
    nonce: str = ""
    tokens: int = 0
    fingerprint: str = ""


class Resume(Message):
    """Order to send the answer of a run from `offset`, then its later chunks."""

    nonce: str
    offset: int


class Tombstone(Message):
    """Order never to run this nonce, unless it already ran.

    `sidecar` is the incarnation that the dispatch was sent to.  Any other incarnation
    answers `UNSEEN`, which guarantees nothing.  Where `sidecar` is empty, the sender
    has to check which incarnation answers.
    """

    nonce: str
    sidecar: str = ""


class TombstoneResult(Message):
    """State of the nonce at the sidecar; `TOMBSTONED` means that it never ran."""

    nonce: str
    state: RunState


class Seal(Message):
    """Order to refuse a router incarnation from now on and to report its runs."""

    router: str


class RunReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one run; a bill is the set of receipts by profile and request."""

    profile: str
    request_id: str
    nonce: str
    router: str
    sidecar: str
    tokens: int
    billable: bool = True


class Sealed(Message):
    """Confirmation of a seal, with the tokens of the router's runs by profile.

    `ran` is the sum over the runs that have ended; `running` is the sum of the
    reservations of the runs that have not.  The figures of a profile are final once
    it is not in `running`; the sidecar sends them again when the last run has ended.
    """

    router: str
    sidecar: str
    ran: dict[str, int]
    receipts: tuple[RunReceipt, ...]
    running: dict[str, int] = {}


class ReceiptsDurable(Message):
    """Confirmation that the platform stores these receipts; discard them."""

    nonces: tuple[str, ...]


class OutcomeDurable(Message):
    """Confirmation that the intents of these nonces hold their outcomes.

    The nonces are those of requests that must not repeat.
    """

    nonces: tuple[str, ...]


class Heartbeat(Message):
    """Sign that the sender is live; a sidecar also reports its load, a router zeros.

    `epoch` goes into all dispatches that are created from now on.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 0
    leaving: bool = False
    epoch: int = 0


class ConfigurationDigest(Message):
    """Hash by kind over the sender's configuration, and how complete it is.

    `complete` is, by kind, the platform's revision up to which the sender has every
    change.  `ages` is the number of seconds since the platform confirmed that
    revision, to the sender or to the process that forwarded it.
    """

    roots: dict[str, int]
    complete: dict[str, int]
    ages: dict[str, float] = {}


class ConfigurationBranches(Message):
    """Hash of each branch of a kind, sent to a peer whose digest differs."""

    kind: str
    hashes: tuple[int, ...]


class ConfigurationLeaves(Message):
    """Hash of each leaf of one branch that differs."""

    kind: str
    branch: int
    hashes: tuple[int, ...]


class ConfigurationRanks(Message):
    """Objects that the sender has in some leaves, as ``(gone, version)`` by name."""

    kind: str
    leaves: tuple[int, ...]
    ranks: dict[str, tuple[bool, int]]


class ConfigurationPush(Message):
    """Objects that the receiver may lack; with `more`, it has to pull again."""

    objects: tuple[VersionedObject, ...]
    more: bool = False


class ConfigurationPull(Message):
    """Request to push those objects of a kind that are newer than these ranks."""

    kind: str
    ranks: dict[str, tuple[bool, int]]


class CrashSeen(Message):
    """Crash of an upstream, with the fingerprints of the bodies that ran there.

    A process that receives it for the first time forwards it.

    Attributes
    ----------
    prompts : tuple of (str, tuple of str)
        Fingerprints of bodies that were broken off near their start, each with the ids
        of its shared prompt blocks; from ingress processes.
    """

    crash_id: str
    fingerprints: tuple[str, ...]
    alone: bool = False
    prompts: tuple[tuple[str, tuple[str, ...]], ...] = ()


class BlockQuestion(Message):
    """Question for complete answers to prompts with blocks that crashes accuse."""

    blocks: tuple[str, ...]


class BlockAnswer(Message):
    """Answer to a `BlockQuestion`.

    Attributes
    ----------
    seconds_by_block : dict of str to float
        Seconds since the last such answer at the sender; a block without any is left
        out.
    answers : int
        Number of complete answers that the sender has had.
    """

    seconds_by_block: dict[str, float]
    answers: int = 0


class BlockDecision(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Whether a prompt block is refused; see `policy.block_quarantine.Entry`."""

    block: str
    stamp: int
    refused: bool = True


class SuspectRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request that may crash upstreams; see `policy.quarantine.Suspect`."""

    fingerprint: str
    crash_ids: tuple[str, ...]
    first_age_seconds: float
    last_age_seconds: float


class BlockDecisions(Message):
    """Decisions on prompt blocks that the sender has made."""

    decisions: tuple[BlockDecision, ...]


class SliceRequest(Message):
    """Request of a router that lacks tokens for some of a peer's slice."""

    profile: str
    tokens: int
    transfer_id: str


class SliceTransfer(Message):
    """Tokens already deducted from the sender's slice; resent until acknowledged."""

    profile: str
    tokens: int
    transfer_id: str


class SliceTransferred(Message):
    """Acknowledgement of a transfer, which the sender may now discard."""

    transfer_id: str


class PlatformOperation(StrEnum):
    """Operation that a peer executes at the platform on behalf of the sender."""

    GET = "get"
    LIST = "list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"


class PlatformCall(Message):
    """Platform call for a peer to execute, from a sender that can't reach it.

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
    """Error of a relayed call; the names are those of the platform client's errors."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    EXISTS = "exists"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    REFUSED = "refused"


class PlatformAnswer(Message):
    """Answer to a relayed call.

    `objects` are the objects that were read or that changed, with `gone` for a
    deletion.  `version` is the version of a written object, or the revision of a list
    or watch.
    """

    call_id: int
    error: PlatformError = PlatformError.NONE
    objects: tuple[VersionedObject, ...] = ()
    version: int = 0
    gap: bool = False


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load of one ingress process at an upstream, in requests and tokens.

    It is sent without field names, since each peer receives dozens of loads.
    """

    running: int
    memory_tokens: int
    unread_tokens: int


class AnnouncedLimit(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Rate limit that an upstream's answer announced `age_seconds` ago.

    `per_second` is in requests of the entire fleet; None ends an earlier limit.
    """

    per_second: float | None
    age_seconds: float


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """How loaded an ingress process is, and what it measured.

    Attributes
    ----------
    zone : str
        Availability zone of the process.
    capacity : float
        Bytes a second that the instance's link carries; 0 if unknown.
    utilization : float
        Fraction of the process's event loop or link that is in use, the larger of both.
    overloaded : bool
        Whether the process refuses requests for lack of capacity.
    in_rotation : bool
        Whether the process asks the balancer for new connections.
    departure_utilization : float
        Utilization at which the process left the rotation; 0 while it is in, or if it
        is out for another cause than its load.
    has_queue : bool
        Whether requests are queued at the process.
    running_by_customer : dict of str to int
        Running requests of customers, while requests are queued in the fleet.
    slowness_by_upstream : dict of str to float
        Duration of an upstream's work as a multiple of the usual one of its service,
        for upstreams that differ from the others.
    samples_by_upstream : dict of str to float
        Recent answers that each slowness rests on, older ones counting less; 1 where
        it is missing.
    watches_by_capacity : bool
        Whether the process knows the order of watchers by capacity; older builds order
        them by name only.
    """

    zone: str = ""
    capacity: float = 0.0
    utilization: float = 0.0
    overloaded: bool = False
    in_rotation: bool = True
    departure_utilization: float = 0.0
    has_queue: bool = False
    running_by_customer: dict[str, int] = {}
    slowness_by_upstream: dict[str, float] = {}
    samples_by_upstream: dict[str, float] = {}
    watches_by_capacity: bool = False


class IngressState(Message):
    """State of an ingress process: its load by upstream and the peers it knows.

    Attributes
    ----------
    address : str
        Address of the sender.
    addresses : tuple of str
        Addresses of the sender's peers.
    relays : tuple of str
        Those addresses, including the sender's, whose processes only relay platform
        calls.
    writing_step : int
        Latency class of the sender's ledger writes; see `budget.write_order`.
    parts_by_upstream : dict of str to dict of int to int
        By upstream, tokens by prefix hash of the shared prompt blocks that the
        upstream began to read since the last such message; all of them in the answer
        to a `PartsCall`.
    upstreams_revision : int
        Revision of the newest change of an upstream's entry that the sender has.
    evacuations_revision, evacuated_zones : int, tuple of str
        Fields of `EvacuatedZones`.
    limit_by_upstream : dict of str to AnnouncedLimit
        Limits that recent answers to the sender announced.
    leaving_by_upstream : dict of str to int
        Upstreams whose recent answers to the sender announced that they leave, with the
        Unix milliseconds of their starts.
    status : InstanceStatus or None
        Load of the sender's instance; None if the sender doesn't report it.
    block_decisions : tuple of BlockDecision
        All decisions on prompt blocks, in a message to a peer that may lack them.
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
    leaving_by_upstream: dict[str, int] = {}
    status: InstanceStatus | None = None
    block_decisions: tuple[BlockDecision, ...] = ()
    suspects: tuple[SuspectRequest, ...] = ()


class EvacuatedZones(Message):
    """All evacuated availability zones as of a revision of the platform."""

    revision: int = 0
    zones: tuple[str, ...] = ()


class UpstreamChanges(Message):
    """Changes of upstreams' entries, from a process that watches the platform.

    Attributes
    ----------
    since, revision : int
        A receiver that had all changes up to `since` has all up to `revision` with
        this message.
    objects : tuple of VersionedObject
        Changed entries, with `gone` for the deleted ones.
    lapse_seconds : float
        Time for which entries may be missing because of an outage of the platform.
    late_seconds : float
        Time for which entries may be late because of an outage, however short.
    """

    since: int
    revision: int
    objects: tuple[VersionedObject, ...]
    lapse_seconds: float = 0.0
    late_seconds: float = 0.0


class PartsCall(Message):
    """Request for all shared prompt blocks that the receiver has, sent at a start."""


class LoanRequest(Message):
    """Request for tokens of a customer; see `budget.sizing.SliceNeed`."""

    customer: str
    lacking: int
    holding: int
    demand: int
    largest_request: int


class TokenLoan(Message):
    """Answer to a `LoanRequest`.

    `tokens` is the number of tokens lent, already charged to the sender's slice.
    `returned` is the number that the sender has returned to the ledger, from which the
    receiver may take them.  Both are 0 where the sender has no tokens to spare.
    """

    customer: str
    tokens: int = 0
    returned: int = 0


class RenewalCall(Message):
    """Request for renewals, which the sender includes in its next ledger write."""


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Clocks at the start of a process, and the earlier starts that it knows.

    `latest` is an upper bound of the time of day by the clocks of the fleet, or None
    where no bound was known; see `budget.clocks`.
    """

    boot: float
    wall: float
    latest: float | None
    predecessors: tuple[str, ...]


class HandedRenewals(Message):
    """Delegated renewals of one process, which a peer writes along with its own.

    Attributes
    ----------
    holder : str
        Incarnation of the sender.
    stamp : Stamp
        Time at which the message was made; a later message of the same holder
        replaces it.
    urgent : bool
        Whether callers wait for the renewals, which are then written at once.
    start : Start or None
        Start of a process whose earlier starts are still to be charged.
    wanted : tuple of str
        Customers without a renewal in this message whose ledgers the sender needs.
    """

    holder: str
    stamp: Stamp
    renewal_by_customer: dict[str, Renewal]
    urgent: bool = False
    start: Start | None = None
    wanted: tuple[str, ...] = ()


class WriteOutcome(StrEnum):
    """Outcome of a write.

    After `NOT_DONE` and `UNREACHABLE` nothing was written and never will be;
    `UNREACHABLE` means that the platform did not accept the call.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class RenewalsWritten(Message):
    """Outcome of writing a peer's `HandedRenewals`.

    Attributes
    ----------
    boot : float
        Boot clock in the stamp of the renewals that this message answers.
    holder : str
        Incarnation that delegated the renewals; empty from older builds.
    revision : int
        Revision of the configuration whose budgets the ledgers hold.
    grant_by_customer : dict of str to Grant
        Grants that were written for the holder.
    summary_by_customer : dict of str to Ledger
        Ledgers that the holder asked for, after the write; see `budget.summary`.
    """

    boot: float
    outcome: WriteOutcome
    holder: str = ""
    revision: int = 0
    grant_by_customer: dict[str, Grant] = {}
    summary_by_customer: dict[str, Ledger] = {}


class ClockQuestion(Message):
    """Question for the time of day; `asked_at` is the sender's boot clock, in s."""

    asked_at: float


class ClockAnswer(Message):
    """Time of day at the sender, in seconds, and the question's `asked_at`."""

    asked_at: float
    wall: float


class OriginNote(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Service and software version that began a stream; see `policy.stream_origins`.

    Attributes
    ----------
    version : str or None
        None if it is not certain.
    upstream : str
        Name of the upstream that began it; empty if the sender does not know it.
    age_seconds : float
        Time since it was recorded; 0 for a new stream.
    """

    key: int
    service: str
    version: str | None
    upstream: str = ""
    age_seconds: float = 0.0


class OriginNotes(Message):
    """Origins of streams that the sender has begun, or goes on with."""

    notes: tuple[OriginNote, ...]


class OriginsCall(Message):
    """Request to a relay for the origins that it keeps, from a process that started."""


class OriginsKept(Message):
    """Origins that a relay keeps; sent on request, and when it stops."""

    notes: tuple[OriginNote, ...]


class OriginQuestion(Message):
    """Question for the origin of a stream that a caller of the sender takes up."""

    question_id: int
    key: int
    service: str


class OriginAnswer(Message):
    """Answer to an `OriginQuestion`.

    Attributes
    ----------
    note : OriginNote or None
        The origin, recorded `age_seconds` ago; None if it is unknown.
    is_ambiguous : bool
        Whether different origins were recorded for the stream.
    versions : tuple of str
        Versions of the service that the sender has seen lately.
    followed_seconds : float
        Time for which the sender has followed the upstreams.
    is_current : bool
        Whether the sender follows them now; not in an outage of the platform.
    """

    question_id: int
    note: OriginNote | None = None
    is_ambiguous: bool = False
    age_seconds: float = 0.0
    versions: tuple[str, ...] = ()
    followed_seconds: float = 0.0
    is_current: bool = True


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
    | BlockQuestion
    | BlockAnswer
    | BlockDecisions
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
    | OriginNotes
    | OriginsCall
    | OriginsKept
    | OriginQuestion
    | OriginAnswer
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """Message with the sender's incarnation and configuration revision."""

    sender: str
    revision: int
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)

DEFLATED_MESSAGE_CLASSES = (
    ConfigurationPush,
    HandedRenewals,
    IngressState,
    PlatformAnswer,
    PlatformCall,
    RenewalsWritten,
    UpstreamChanges,
)
"""Classes of deflated messages, which repeat names of fields, routes and holders.
Messages with callers' bytes are not deflated, to save processor time."""

MIN_DEFLATED_BYTES = 1024
"""Smaller messages fit into one packet without deflating."""

DEFLATE_LEVEL = 1
"""Fastest level of zlib.  It deflates a configuration of 74 KB to 10 KB and a summary
of the ledgers of 10 KB to 4 KB."""

_ZLIB_FIRST_BYTE = b"\x78"
"""First byte of zlib data; an envelope in msgpack begins with the byte of a map."""

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Limit of an inflated message, several times the platform's largest value.  It keeps
a few bytes of a foreign sender from filling the memory."""


def encode(envelope: Envelope) -> bytes:
    """Return the bytes to send for an envelope."""
    data = _encoder.encode(envelope)
    if len(data) < MIN_DEFLATED_BYTES:
        return data
    if not isinstance(envelope.message, DEFLATED_MESSAGE_CLASSES):
        return data
    return zlib.compress(data, DEFLATE_LEVEL)


def decode(data: bytes) -> Envelope:
    """Return the envelope in `data`.

    Raises
    ------
    msgspec.DecodeError
        `data` is no envelope, or is too large when inflated.
    """
    if data.startswith(_ZLIB_FIRST_BYTE):
        data = _inflate(data)
    try:
        return _decoder.decode(data)
    except (UnicodeDecodeError, RecursionError) as exc:
        raise msgspec.DecodeError(str(exc)) from exc


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        rv = inflater.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(str(exc)) from exc
    if not inflater.eof:
        raise msgspec.DecodeError("deflated message is truncated or too large")
    return rv
