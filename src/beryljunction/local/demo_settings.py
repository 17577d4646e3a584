"""Settings of the fleets that the demo and the tests run on loopback."""

import hashlib
from collections.abc import Mapping
from typing import Any

import attrs

from beryljunction.errors import SettingsError
from beryljunction.settings import AccountSettings, Edit, ResolvedSettings, ServiceSettings
from beryljunction.settings.operator_session import InvalidChange, OperatorSession
from beryljunction.stores import LogClient

__all__ = [
    "DEMO_API_KEY",
    "DEMO_OPERATOR",
    "DEMO_REGION",
    "DEMO_ZONES",
    "demo_settings",
    "publish_settings",
    "settings_by_path",
]

DEMO_API_KEY = "demo-key"
DEMO_OPERATOR = "newcomer"
_KIND = "kind"
DEMO_REGION = "gj-west"
DEMO_ZONES = ("ahd-a", "ahd-b", "gnr-a", "vad-a")


def demo_settings() -> ResolvedSettings:
    """Return the settings of the demo: two model services and a plain service."""
    digest = hashlib.sha256(DEMO_API_KEY.encode()).hexdigest()
    return ResolvedSettings(
        services={
            "reel-llm": ServiceSettings(models=("reel-llm",)),
            "drafter": ServiceSettings(models=("drafter",)),
            "ledger": ServiceSettings(kind="plain", idempotent=False),
        },
        accounts={"jury-office": AccountSettings(digest)},
    )


def settings_by_path(view: ResolvedSettings) -> dict[str, Any]:
    """Return the paths and values of a view; values at their default are omitted, except `kind`."""
    groups: dict[str, Mapping[str, Any]] = {"service": view.services, "account": view.accounts}
    return {
        f"{level}.{name}.{field.name}": _plain(getattr(row, field.name))
        for level, rows in groups.items()
        for name, row in rows.items()
        for field in attrs.fields(type(row))
        if field.name == _KIND or getattr(row, field.name) != field.default
    }


async def publish_settings(log: LogClient, settings: dict[str, Any]) -> None:
    """Publish settings to a log, as an operator does.

    Raises:
        SettingsError: If the settings are not valid.
    """
    session = OperatorSession(log, DEMO_OPERATOR)
    await session.sync()
    edits = tuple(Edit(path, value) for path, value in settings.items())
    answer = await session.publish(edits, "settings to start with")
    if isinstance(answer, InvalidChange):
        raise SettingsError(list(answer.problems))


def _plain(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
