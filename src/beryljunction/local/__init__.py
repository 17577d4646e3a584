"""Runs a whole fleet on one host, for newcomers, demos and tests."""

from beryljunction.local.demo import DemoResult, print_demo, run_demo
from beryljunction.local.demo_view import DEMO_API_KEY, demo_view
from beryljunction.local.files import LocalFleetSize, StandInsFile, write_process_files
from beryljunction.local.fleet import LocalFleet
from beryljunction.local.platform import LocalPlatformFleet, run_interactive_platform
from beryljunction.local.serving import run_interactive_fleet
from beryljunction.local.standins import run_standins

__all__ = [
    "DEMO_API_KEY",
    "DemoResult",
    "LocalFleetSize",
    "LocalFleet",
    "LocalPlatformFleet",
    "StandInsFile",
    "demo_view",
    "print_demo",
    "run_demo",
    "run_standins",
    "run_interactive_fleet",
    "run_interactive_platform",
    "write_process_files",
]
