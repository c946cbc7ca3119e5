"""Read profile definitions from files and command line flags."""

from pathlib import Path
from typing import Annotated

import msgspec

from ragwortkeel.configuration import Profile, Tokens
from ragwortkeel.exceptions import CommandError, SettingsError
from ragwortkeel.settings import decode


class Definition(Profile, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A profile and the prepaid tokens of its initial budget."""

    prepaid_tokens: Annotated[Tokens, msgspec.Meta(le=10**15)] = 0

    def profile(self) -> Profile:
        """Return the profile without its budget."""
        values = msgspec.structs.asdict(self)
        del values["prepaid_tokens"]
        return Profile(**values)


def read_definition(file: str, flags: dict[str, object]) -> Definition:
    """Return the definition in `file`, with the fields in `flags` replaced.

    Raises
    ------
    SettingsError
        If a field has a value that is not allowed.
    """
    raw: dict[str, object] = _read(file) if file else {}
    return decode(msgspec.json.encode(raw | given_flags(flags)), Definition)


def apply_flags(profile: Profile, flags: dict[str, object]) -> Profile:
    """Return the profile with the fields in `flags` replaced."""
    if profile.retired:
        raise CommandError(
            f"profile {profile.name} is retired for good; create another"
        )
    raw = msgspec.to_builtins(profile) | given_flags(flags)
    return decode(msgspec.json.encode(raw), Profile)


def given_flags(flags: dict[str, object]) -> dict[str, object]:
    """Return the flags that were given, converted to JSON types."""
    values = {key: value for key, value in flags.items() if value is not None}
    if "back_ends" in values:
        values["back_ends"] = _names(values["back_ends"])
    return values


def _names(value: object) -> list[str]:
    if isinstance(value, str):
        return [name.strip() for name in value.split(",") if name.strip()]
    if isinstance(value, list | tuple):
        return [str(name) for name in value]
    return [str(value)]


def _read(file: str) -> dict[str, object]:
    try:
        raw = msgspec.json.decode(Path(file).read_bytes())
    except OSError as exc:
        raise CommandError(f"cannot read {file}: {exc.strerror}") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(path="$", found=str(exc), allowed="valid JSON") from exc
    if not isinstance(raw, dict):
        raise SettingsError(path="$", found="no object", allowed="a profile's fields")
    return raw
