"""Stateful fuzz of the path on the users' platform: the real entry over connections in memory."""

from beryljunction.fuzz.platform.machine import (
    PlatformMachine,
    PlatformProfile,
    run_platform_fuzz,
)

__all__ = ["PlatformMachine", "PlatformProfile", "run_platform_fuzz"]
