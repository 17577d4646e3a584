"""Runs a whole fleet on one host, for newcomers, demos and tests."""

from beryljunction.local.demo import DemoResult, print_demo, run_demo
from beryljunction.local.demo_view import DEMO_KEY, demo_view
from beryljunction.local.files import FleetPlan, StandInsFile, write_files
from beryljunction.local.fleet import LocalFleet
from beryljunction.local.platform import LocalPlatform, serve_platform
from beryljunction.local.serving import serve_fleet
from beryljunction.local.standins import run_standins

__all__ = [
    "DEMO_KEY",
    "DemoResult",
    "FleetPlan",
    "LocalFleet",
    "LocalPlatform",
    "StandInsFile",
    "demo_view",
    "print_demo",
    "run_demo",
    "run_standins",
    "serve_fleet",
    "serve_platform",
    "write_files",
]
