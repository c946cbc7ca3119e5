"""Settings files in JSON, checked whole before a process does anything.

An unknown key, a wrong type or a value out of range names the path of the
field, what was found there and what is allowed.
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
"""A few in each zone are plenty: one that answers names all the others."""

MAX_STOP_SECONDS = 3_600
"""A stop that takes longer than this is a process nobody is waiting for."""

AddressText = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
StopSeconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_STOP_SECONDS)]
CallSeconds = Annotated[float, msgspec.Meta(gt=0, le=60)]
Peers = Annotated[tuple[AddressText, ...], msgspec.Meta(max_length=MAX_PEERS)]


class LogLevel(StrEnum):
    """Least severe event that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, kw_only=True)
class Address:
    """Where a process listens: an IPv4 number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the address that `text`, as ``ip:port``, names.

        Raises
        ------
        ValueError
            `text` is no ``ip:port``.
        """
        if re.match(ADDRESS_PATTERN, text) is None:
            raise ValueError(f"{text!r} is no ip:port such as 10.0.1.7:7100")
        host, port = text.split(":")
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings: a key that means nothing is an error."""


class RouterSettings(_Settings):
    """What a router has to know before it starts.

    Attributes
    ----------
    name : str
        Stable name of the entry instance; each start adds an incarnation.
    address, http, metrics : str
        Where to listen for the system's own processes, for callers, and for
        ``/metrics``, ``/healthz``, ``/readyz`` and ``/traces``.
    platform : str
        Where the platform's object service answers.
    peers : tuple of str
        Routers to learn from where the platform is down on start.
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
    """What a sidecar has to know before it starts.

    Attributes
    ----------
    upstream : str
        Name of the upstream's object in the platform.
    upstream_address : str
        Where the engine or service beside this process answers.
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


class IngressSettings(_Settings):
    """What an ingress process has to know before it starts.

    Attributes
    ----------
    address, http, metrics : str
        Where to listen for peers, for callers, and for the probes.
    ready_path : str
        Path on the probes' address that the balancer asks.
    platform : str
        Where the platform's object service answers.
    peers : tuple of str
        Ingress processes to begin with; they tell of the others.
    region_by_zone : dict of str to str
        The region of each availability zone, for routes and customers with homes.
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
    stop_deadline_seconds: StopSeconds = 60.0
    log_level: LogLevel = LogLevel.INFO


class RelaySettings(_Settings):
    """What a process that only relays calls of the platform has to know.

    Attributes
    ----------
    peers : tuple of str
        Ingress processes to announce itself to.
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
    """What the operators' command line has to know."""

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
    """Return the settings in `data`; `SettingsError` where they do not fit."""
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
    """Return the values of an enum field of `cls`, or nothing for other fields."""
    by_name = {field.name: field.type for field in msgspec.structs.fields(cls)}
    found = by_name.get(path.removeprefix("$."))
    if isinstance(found, type) and issubclass(found, StrEnum):
        return f"one of {', '.join(found)}"
    return ""


def _describe_allowed(what: str) -> str:
    if ADDRESS_PATTERN in what or repr(ADDRESS_PATTERN) in what:
        return 'an "ip:port" such as "10.0.1.7:7100"'
    return what.removeprefix("Expected ")
