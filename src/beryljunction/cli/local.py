"""beryl-local: the whole path in one process."""

import sys

import anyio
import defopt

from beryljunction.local import DEMO_KEY, LocalFleet, demo_view, print_demo, run_demo

__all__ = ["main"]


def demo() -> int:
    """Send returning chats and non-idempotent calls through a fleet; exit 1 on a broken promise."""
    result = anyio.run(run_demo)
    print_demo(result)
    whole = result.answers_whole + result.refusals == result.answers_total
    return 0 if whole and result.double_runs == 0 else 1


def serve() -> int:
    """Keep a fleet up for trying with curl, until interrupted."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            fleet = LocalFleet(group, demo_view())
            for i in range(3):
                await fleet.add_endpoint(f"drafter-{i}", "drafter")
            await fleet.add_endpoint("ledger-0", "ledger")
            print(f"entry: {await fleet.add_entry()}  key: {DEMO_KEY}", flush=True)

    try:
        anyio.run(run)
    except KeyboardInterrupt:
        return 0
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run([demo, serve]))
