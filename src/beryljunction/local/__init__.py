"""The whole path in one process, for newcomers, demos and tests."""

from beryljunction.local.demo import DemoResult, print_demo, run_demo
from beryljunction.local.fleet import DEMO_KEY, LocalFleet, demo_view

__all__ = ["DEMO_KEY", "DemoResult", "LocalFleet", "demo_view", "print_demo", "run_demo"]
