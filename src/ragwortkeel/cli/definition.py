"""Profiles as operators write them: in a file, by flags, or both."""

from pathlib import Path
from typing import Annotated

import msgspec

from ragwortkeel.configuration import Profile, Tokens
from ragwortkeel.exceptions import CommandError, SettingsError
from ragwortkeel.settings import decode


class Definition(Profile, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A profile and the prepaid tokens that its budget starts with."""

    prepaid_tokens: Annotated[Tokens, msgspec.Meta(le=10**15)] = 0

    def profile(self) -> Profile:
        """Return the profile without its budget."""
        values = msgspec.structs.asdict(self)
        del values["prepaid_tokens"]
        return Profile(**values)


def read_definition(file: str, flags: dict[str, object]) -> Definition:
    """Return the definition in `file`, with `flags` before it.

    Raises
    ------
    SettingsError
        Names the field, what was found and what is allowed.
    """
    raw: dict[str, object] = _read(file) if file else {}
    return decode(msgspec.json.encode(raw | given_flags(flags)), Definition)


def apply_flags(profile: Profile, flags: dict[str, object]) -> Profile:
    """Return the profile with the fields that `flags` give."""
    if profile.retired:
        raise CommandError(
            f"profile {profile.name} is retired for good; create another"
        )
    raw = msgspec.to_builtins(profile) | given_flags(flags)
    return decode(msgspec.json.encode(raw), Profile)


def given_flags(flags: dict[str, object]) -> dict[str, object]:
    """Return the flags that were given, as JSON would hold them."""
    values = {key: one for key, one in flags.items() if one is not None}
    if "back_ends" in values:
        values["back_ends"] = _names(values["back_ends"])
    return values


def _names(value: object) -> list[str]:
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    if isinstance(value, list | tuple):
        return [str(part) for part in value]
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
