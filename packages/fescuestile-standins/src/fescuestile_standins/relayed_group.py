"""Database groups whose endpoints are reached through ``wire``.

Unlike those of a fleet, they reach each other through it, too.
Each endpoint has an IP of its own, so that it can be cut from daemons and
from other endpoints apart.
"""

import dataclasses

from fescuestile import plans
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from fescuestile_standins import wire

RELAY_HOST = 15


@dataclasses.dataclass
class RelayedGroup:
    """One group; its plan names the relays.

    :ivar addresses: ``IP:port`` that each endpoint listens on, by name
    """

    plan: plans.Plan
    options: fleets.GroupOptions
    addresses: dict[str, str]
    processes: dict[str, launchers.Process]
    launcher: launchers.Launcher

    def find_side(self, name: str) -> str:
        """Return the side of an endpoint in the rules of ``wire``."""
        return self.addresses[name].rpartition(":")[0] + "/32"

    async def restart(self, name: str) -> None:
        """Start a killed endpoint again, without its state."""
        arguments = self._make_arguments(name)
        place = arguments.index("--primary")
        del arguments[place : place + 2]
        await self._start(name, arguments)

    async def start(self) -> None:
        """Start all endpoints of the new group."""
        for name in self.plan.endpoint_by_name:
            await self._start(name, self._make_arguments(name))

    def _make_arguments(self, name: str) -> list[str]:
        endpoint = self.plan.endpoint_by_name[name]
        arguments = fleets.make_endpoint_arguments(
            self.plan, endpoint, self.options
        )
        place = arguments.index("--address") + 1
        arguments[place] = self.addresses[name]
        return arguments

    async def _start(self, name: str, arguments: list[str]) -> None:
        address = self.addresses[name]
        process = self.launcher.start_module(
            name, fleets.ENDPOINT_MODULE, arguments, address
        )
        await process.wait_ready()
        self.processes[name] = process


async def start_group(
    launcher: launchers.Launcher,
    control: wire.WireClient,
    options: fleets.GroupOptions,
    number: int,
    zones: tuple[str, ...] = fleets.ZONES,
) -> RelayedGroup:
    """Start a group, one endpoint in each zone.

    :param number: number of the group among all, 0 to 4
    """
    endpoints = []
    addresses = {}
    for place in range(options.size):
        zone = place % len(zones) + 1
        host = fleets.FIRST_ENDPOINT_HOST + number
        name = f"{options.database}-{place + 1}"
        addresses[name] = launchers.choose_address(zone, host)
        relay = launchers.choose_address(zone, RELAY_HOST + number)
        endpoints.append(
            plans.Endpoint(
                name=name,
                zone=zones[zone - 1],
                address=await control.add_relay(relay, addresses[name]),
                slots=options.slots,
                connections=options.connections,
            )
        )
    plan = fleets.make_plan(options.database, tuple(endpoints))
    group = RelayedGroup(plan, options, addresses, {}, launcher)
    await group.start()
    return group
