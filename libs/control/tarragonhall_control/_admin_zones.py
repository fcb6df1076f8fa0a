"""Admin API handlers for availability zones and their evacuation."""

from __future__ import annotations

from collections import Counter

from tarragonhall_model import EvacuateZone
from tarragonhall_state import ROOT_PATH, OperatorRole

from tarragonhall_control import _bodies as bodies
from tarragonhall_control._member import ControlMember
from tarragonhall_control._request import AdminReply, AdminRequest, unwrap_result


class ZoneHandlers:
    """Lists availability zones and starts or ends their evacuation."""

    __slots__ = ("_member",)

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    def list_zones(self, _request: AdminRequest) -> AdminReply:
        """GET /zones."""
        view = self._member.state.view()
        entries = Counter(one.availability_zone for one in view.entries)
        servers = Counter(one.availability_zone for one in view.servers)
        zones = [
            {
                "availability_zone": zone,
                "evacuated": zone in view.evacuated_zones,
                "entries": entries[zone],
                "servers": servers[zone],
            }
            for zone in self._member.zones()
        ]
        return AdminReply({"zones": zones})

    def evacuate(self, request: AdminRequest) -> AdminReply:
        """POST /zones/{zone}/evacuation: its backend servers get no new calls until it ends."""
        body = bodies.load(bodies.EVACUATION, request.body)
        request.require(OperatorRole.ADMIN, ROOT_PATH)
        zone = request.path_params["zone"]
        refusal = self._member.refuse_unknown_zone(zone)
        if refusal is not None:
            unwrap_result(refusal)
        command = EvacuateZone(zone, body["evacuated"])
        result = unwrap_result(self._member.commit(command, request.request_id))
        evacuated = self._member.state.view().evacuated_zones
        answer = {"epoch": result.revision, "evacuated_zones": evacuated}
        return AdminReply(answer | {"request_id": request.request_id})
