"""Runs a fleet on loopback to try out with curl."""

import anyio

from beryljunction.local.demo_settings import DEMO_API_KEY, demo_settings
from beryljunction.local.fleet import LocalFleet

__all__ = ["run_interactive_fleet"]

_EXAMPLES = """\
curl -N {entry}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
  -d '{{"model": "drafter", "stream": true, "prompt_cache_key": "chat-1", "max_tokens": 8,
       "messages": [{{"role": "user", "content": "Draft the application."}}]}}'
curl {entry}/services/ledger/notes -H 'Authorization: Bearer {key}' -d 'disbursement 17'
curl {operator}/beryl/v1/status
curl {operator}/metrics
beryl status --hosts {hosts}
beryl timeline --hosts {hosts}
"""


async def run_interactive_fleet(endpoints: int) -> None:
    """Run two entries, endpoints of each service and stand-ins; print example commands."""
    async with anyio.create_task_group() as group:
        fleet = LocalFleet(group, demo_settings())
        for service in fleet.view.services:
            for number in range(endpoints):
                await fleet.add_endpoint(f"{service}-{number}", service)
        entries = [await fleet.add_entry() for _ in range(2)]
        await fleet.wait_until_ready()
        operator = f"http://{fleet.nodes[-1].operator_server.address}"
        hosts = await fleet.hosts_url()
        text = _EXAMPLES.format(entry=entries[0], key=DEMO_API_KEY, operator=operator, hosts=hosts)
        print(text, flush=True)
