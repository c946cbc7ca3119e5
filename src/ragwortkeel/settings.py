"""Settings files in JSON, checked completely before a process starts its work.

The error for an unknown key, a wrong type or a value out of range contains the path
of the field, the value found and the values allowed.
"""

import re
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Self, TypeVar

import msgspec

from ragwortkeel.configuration import Name, UpstreamKind
from ragwortkeel.exceptions import SettingsError

_OCTET = r"(?:25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT = r"(?:6553[0-5]|655[0-2]\d|65[0-4]\d{2}|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
ADDRESS_PATTERN = rf"^{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}$"

MAX_PEERS = 64
"""Limit of the configured peers.  A few in each zone suffice: each reachable peer
sends the addresses of all others."""

MAX_STOP_SECONDS = 3_600
"""Upper limit of a stop deadline: operators wait no longer than an hour for a stop."""

AddressText = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
StopSeconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_STOP_SECONDS)]
CallSeconds = Annotated[float, msgspec.Meta(gt=0, le=60)]
Peers = Annotated[tuple[AddressText, ...], msgspec.Meta(max_length=MAX_PEERS)]
PositiveRate = Annotated[float, msgspec.Meta(gt=0)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
PositiveBytes = Annotated[int, msgspec.Meta(gt=0)]
DeliverySeconds = Annotated[float, msgspec.Meta(ge=0, le=60)]


class LogLevel(StrEnum):
    """Lowest severity of the events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class Address:
    """Address that a process listens at: an IPv4 number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the address in `text`, which has the form ``ip:port``.

        Raises
        ------
        ValueError
            `text` is no ``ip:port``.
        """
        if re.match(ADDRESS_PATTERN, text) is None:
            raise ValueError(f"address {text!r} is no ip:port such as 10.0.1.7:7100")
        host, port = text.split(":")
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings; an unknown key is an error."""


class RouterSettings(_Settings):
    """Settings of a router.

    Attributes
    ----------
    name : str
        Stable name of the entry instance; each start creates a new incarnation.
    address, http, metrics : str
        Addresses to listen at for processes of the fleet, for callers, and for
        ``/metrics``, ``/healthz``, ``/readyz`` and ``/traces``.
    platform : str
        Address of the platform's object service.
    peers : tuple of str
        Routers to get the configuration from while the platform is unreachable at a
        start.
    stop_deadline_seconds : float
        How long a planned stop waits for requests in flight.
    """

    name: Name
    zone: Name
    address: AddressText
    http: AddressText
    metrics: AddressText
    platform: AddressText
    peers: Peers = ()
    stop_deadline_seconds: StopSeconds = 60.0
    log_level: LogLevel = LogLevel.INFO


class SidecarSettings(_Settings):
    """Settings of a sidecar.

    Attributes
    ----------
    upstream : str
        Name of the upstream's object in the platform.
    upstream_address : str
        Address of the engine or service on the same instance.
    engine_checks_fencing : bool
        Whether the engine refuses an order with an old fencing number.
    """

    name: Name
    upstream: Name
    zone: Name
    address: AddressText
    metrics: AddressText
    platform: AddressText
    upstream_address: AddressText
    upstream_kind: UpstreamKind
    peers: Peers = ()
    stop_deadline_seconds: StopSeconds = 60.0
    engine_checks_fencing: bool = False
    log_level: LogLevel = LogLevel.INFO


class InstanceCapacity(_Settings):
    """What the instance of a process can carry.

    Attributes
    ----------
    link_bytes_per_second : float
        Bytes a second that the instance's link carries in each direction.
    memory_bytes : int
        Memory at which the process is killed.
    max_descriptors : int or None
        Descriptors that the process may open; None for the limit of the system.
    """

    link_bytes_per_second: PositiveRate
    memory_bytes: PositiveBytes
    max_descriptors: PositiveCount | None = None


class IngressSettings(_Settings):
    """Settings of an ingress process.

    Attributes
    ----------
    address, http, metrics : str
        Addresses to listen at for peers, for callers, and for the probes.
    ready_path : str
        Path of the readiness probe that the balancer requests, at `metrics`.
    platform : str
        Address of the platform's object service.
    peers : tuple of str
        Ingress processes to connect to first; they send the addresses of the others.
    region_by_zone : dict of str to str
        Region of each availability zone, for routes and customers with a home.
    capacity : InstanceCapacity or None
        With a capacity the process refuses requests that it could only serve late,
        and bounds what it holds for slow callers; None switches both off.
    leaves_rotation : bool
        Whether the process fails readiness probes while it is overloaded and peers of
        its availability zone are not.
    event_delivery_seconds : float
        Time from when an upstream makes an event of a stream until the caller should
        have it; 0 if no time is promised, so that each event is forwarded at once.
    fleet_fairness : bool
        Whether a customer's running requests at peers count for its place in a queue,
        and processes divide what is free of an engine's memory from a quarter full on.
    measures_upstreams : bool
        Whether the speed of upstreams, as their answers show it, decides where
        requests go.
    first_start : bool
        Whether the whole fleet starts for the first time, so that no stream has begun
        before.
    upstream_report_path : str
        Path at which each upstream states when it started, as ``born`` in a JSON
        object; empty if they don't.  A stream then goes on only at an upstream that is
        known not to have started again since its entry was written.
    """

    name: Name
    zone: Name
    address: AddressText
    http: AddressText
    metrics: AddressText
    platform: AddressText
    ready_path: str = "/readyz"
    peers: Peers = ()
    region_by_zone: dict[str, str] = {}
    capacity: InstanceCapacity | None = None
    leaves_rotation: bool = False
    event_delivery_seconds: DeliverySeconds = 0.0
    fleet_fairness: bool = False
    measures_upstreams: bool = False
    first_start: bool = False
    upstream_report_path: str = ""
    stop_deadline_seconds: StopSeconds = 60.0
    log_level: LogLevel = LogLevel.INFO


class RelaySettings(_Settings):
    """Settings of a relay, a process that only relays platform calls.

    Attributes
    ----------
    peers : tuple of str
        Ingress processes that the relay announces its address to.
    """

    name: Name
    zone: Name
    address: AddressText
    metrics: AddressText
    platform: AddressText
    peers: Peers = ()
    stop_deadline_seconds: StopSeconds = 60.0
    log_level: LogLevel = LogLevel.INFO


class CommandSettings(_Settings):
    """Settings of the operators' command line."""

    platform: AddressText
    timeout_seconds: CallSeconds = 5.0


def changed_fields(old: _Settings, new: _Settings) -> list[str]:
    """Return the names of the fields in which two settings differ."""
    names = old.__struct_fields__
    return [name for name in names if getattr(old, name) != getattr(new, name)]


SettingsClass = TypeVar("SettingsClass", bound=_Settings)

_MESSAGE_AND_PATH = re.compile(
    r"^(?P<what>.*?)(?: - at `(?P<path>[^`]*)`)?$", re.DOTALL
)
_UNKNOWN = re.compile(r"Object contains unknown field `(?P<field>.*)`")
_MISSING = re.compile(r"Object missing required field `(?P<field>.*)`")
_PATH_ELEMENT = re.compile(r"\.(?P<key>[^.\[]+)|\[(?P<index>\d+)\]")


def load(path: str | Path, cls: type[SettingsClass]) -> SettingsClass:
    """Return the settings in the file at `path`.

    Raises
    ------
    SettingsError
        The file cannot be read, is no JSON, or does not fit `cls`.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(
            path="$", found=f"no readable file {path}", allowed="a JSON file"
        ) from exc
    return decode(data, cls)


def decode(data: bytes, cls: type[SettingsClass]) -> SettingsClass:
    """Return the settings in `data`.

    Raises
    ------
    SettingsError
        `data` is no JSON, or does not fit `cls`.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(path="$", found=str(exc), allowed="valid JSON") from exc
    try:
        return msgspec.convert(raw, cls)
    except msgspec.ValidationError as exc:
        raise _explain(str(exc), raw, cls) from exc


def _explain(message: str, raw: object, cls: type) -> SettingsError:
    parts = _MESSAGE_AND_PATH.match(message)
    path = parts["path"] or "$"
    what = parts["what"]
    if unknown := _UNKNOWN.match(what):
        known = ", ".join(field.name for field in msgspec.structs.fields(cls))
        return SettingsError(
            path=f"{path}.{unknown['field']}",
            found="a key of no meaning",
            allowed=f"one of {known}",
        )
    if missing := _MISSING.match(what):
        return SettingsError(
            path=f"{path}.{missing['field']}",
            found="nothing",
            allowed="a value; this key is required",
        )
    allowed = _enum_values(cls, path) or _describe_allowed(what)
    return SettingsError(path=path, found=_value_at(raw, path), allowed=allowed)


def _value_at(raw: object, path: str) -> str:
    value = raw
    for element in _PATH_ELEMENT.finditer(path):
        value = (
            value[element["key"]] if element["key"] else value[int(element["index"])]
        )
    return msgspec.json.encode(value).decode()


def _enum_values(cls: type, path: str) -> str:
    """Return the values of an enum field of `cls`, or "" for another field."""
    type_by_name = {field.name: field.type for field in msgspec.structs.fields(cls)}
    field_type = type_by_name.get(path.removeprefix("$."))
    if isinstance(field_type, type) and issubclass(field_type, StrEnum):
        return f"one of {', '.join(field_type)}"
    return ""


def _describe_allowed(what: str) -> str:
    if ADDRESS_PATTERN in what or repr(ADDRESS_PATTERN) in what:
        return 'an "ip:port" such as "10.0.1.7:7100"'
    return what.removeprefix("Expected ")
