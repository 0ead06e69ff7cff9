"""Which regions may hold the data of a call."""

from sassafraskeel.core.errors import Reason, not_run_refusal
from sassafraskeel.core.types import Call
from sassafraskeel.sheets.model import Sheet


def allowed_regions(sheet: Sheet, workspace: str, service: str) -> frozenset[str]:
    """Return the regions that may hold the data of a workspace's calls to a service.

    Raise Refusal for a workspace or service that the sheet does not list.
    """
    if workspace not in sheet.workspaces:
        raise not_run_refusal(Reason.UNKNOWN_WORKSPACE, workspace)
    if service not in sheet.services:
        raise not_run_refusal(Reason.UNKNOWN_SERVICE, service)
    return sheet.workspaces[workspace].regions & sheet.services[service].regions


def allowed_domains(sheet: Sheet, workspace: str, service: str) -> frozenset[str]:
    """Return the failure domains that may hold the data of a workspace's calls.

    Raise Refusal for a workspace or service that the sheet does not list.
    """
    regions = allowed_regions(sheet, workspace, service)
    return frozenset(
        domain.name for domain in sheet.domains.values() if domain.region in regions
    )


def check_residency(sheet: Sheet, call: Call, domain: str) -> None:
    """Raise Refusal unless a failure domain may hold the data of a call."""
    if domain not in allowed_domains(sheet, call.workspace, call.service):
        raise not_run_refusal(
            Reason.WRONG_HOST,
            f"data of {call.workspace} for {call.service} may not enter {domain}",
        )


def home_domain(sheet: Sheet, workspace: str, service: str) -> str:
    """Return the failure domain that owns the orders of a workspace at a service."""
    return sheet.services[service].home or sheet.workspaces[workspace].home
