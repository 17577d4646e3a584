"""Settings of the fleets that newcomers and tests run on loopback."""

import hashlib

from beryljunction.settings import AccountSettings, FleetView, ServiceSettings

__all__ = ["DEMO_KEY", "DEMO_REGION", "DEMO_ZONES", "demo_view"]

DEMO_KEY = "demo-key"
DEMO_REGION = "gj-west"
DEMO_ZONES = ("ahd-a", "ahd-b", "gnr-a", "vad-a")


def demo_view() -> FleetView:
    """Return the settings of the demo: a model service of each user and a plain service."""
    digest = hashlib.sha256(DEMO_KEY.encode()).hexdigest()
    return FleetView(
        version=1,
        services={
            "reel-llm": ServiceSettings(models=("reel-llm",)),
            "drafter": ServiceSettings(models=("drafter",)),
            "ledger": ServiceSettings(kind="plain", idempotent=False),
        },
        accounts={"jury-office": AccountSettings(digest)},
    )
