"""Runs a whole fleet on one host, for newcomers, demos and tests."""

from beryljunction.local.demo import DemoResult, print_demo, run_demo
from beryljunction.local.demo_settings import DEMO_API_KEY, demo_settings
from beryljunction.local.files import LocalFleetSize, StandInsFile, write_process_files
from beryljunction.local.fleet import LocalFleet
from beryljunction.local.interactive_fleet import run_interactive_fleet
from beryljunction.local.platform import LocalPlatformFleet, run_interactive_platform
from beryljunction.local.standins import run_standins

__all__ = [
    "DEMO_API_KEY",
    "DemoResult",
    "LocalFleetSize",
    "LocalFleet",
    "LocalPlatformFleet",
    "StandInsFile",
    "demo_settings",
    "print_demo",
    "run_demo",
    "run_standins",
    "run_interactive_fleet",
    "run_interactive_platform",
    "write_process_files",
]
