"""Database groups whose endpoints are reached through ``wire``.

Unlike in a fleet, the endpoints also reach each other through it. Each
endpoint has its own IP address, so that it can be cut off from daemons and
from other endpoints independently.
"""

import dataclasses

from fescuestile import plans
from fescuestile_standins import fleet as fleets
from fescuestile_standins import launcher as launchers
from fescuestile_standins import wire

RELAY_HOST = 15


@dataclasses.dataclass
class RelayedGroup:
    """A database group.

    :ivar plan: plan with the addresses of the relays
    :ivar addresses: ``IP:port`` that each endpoint listens on, by name
    """

    plan: plans.Plan
    options: fleets.GroupOptions
    addresses: dict[str, str]
    processes: dict[str, launchers.Process]
    launcher: launchers.Launcher

    def find_side(self, name: str) -> str:
        """Return the side that an endpoint is in the rules of ``wire``."""
        return self.addresses[name].rpartition(":")[0] + "/32"

    async def restart(self, name: str) -> None:
        """Restart a killed endpoint without its state."""
        arguments = self._make_arguments(name)
        index = arguments.index("--primary")
        del arguments[index : index + 2]
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
        index = arguments.index("--address") + 1
        arguments[index] = self.addresses[name]
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
    """Start a group whose endpoints are distributed over the zones.

    :param control: client of the relays
    :param number: number of the group, unique in the fleet, 0 to 4
    """
    endpoints = []
    addresses = {}
    for index in range(options.size):
        zone = index % len(zones) + 1
        host = fleets.FIRST_ENDPOINT_HOST + number
        name = f"{options.database}-{index + 1}"
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
