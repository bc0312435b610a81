"""All faults of the operators' text, or of VM settings, at once."""

import msgspec

from eelgrassknot import exceptions
from eelgrassknot.settings import addresses
from eelgrassknot.settings import faults
from eelgrassknot.settings import ranges
from eelgrassknot.settings import references
from eelgrassknot.settings import structure
from eelgrassknot.settings import text as services_text
from eelgrassknot.settings import vm as vm_settings

__all__ = ['check_text', 'check_vm', 'require_no_faults']


def check_text(document: bytes | str) -> list[faults.Fault]:
    """Return all faults of an operators' text; empty if it can be used.

    Args:
        document: The JSON text, which may be anything at all.

    Example:
        >>> [fault.path for fault in check_text('{"deployment": 3}')][:2]
        ['$.deployment', '$.regions']
    """
    value, found = structure.parse(document)
    if found:
        return found
    found = structure.structure_faults(value, services_text.ServicesText)
    found += ranges.range_faults(value)
    found += references.reference_faults(value)
    return found or _decoder_faults(document, services_text.ServicesText)


def check_vm(document: bytes | str) -> list[faults.Fault]:
    """Return all faults of VM settings; empty if they can be used.

    Args:
        document: The JSON text, which may be anything at all.
    """
    value, found = structure.parse(document)
    if found:
        return found
    found = structure.structure_faults(value, vm_settings.VmSettings)
    found += addresses.vm_faults(value)
    return found or _decoder_faults(document, vm_settings.VmSettings)


def require_no_faults(found: list[faults.Fault], name: str) -> None:
    """Raise if a document has faults.

    Args:
        found: The faults.
        name: What the document is, for the message.

    Raises:
        SettingsError: If there is any fault; the message lists them all.
    """
    if found:
        listing = '; '.join(str(fault) for fault in found)
        raise exceptions.SettingsError(
            f'{name} has {len(found)} faults: {listing}',
            'mend each of them',
        )


def _decoder_faults(
    document: bytes | str, kind: type[msgspec.Struct]
) -> list[faults.Fault]:
    """Return what only the decoder refuses, such as exotic numbers."""
    try:
        msgspec.json.decode(document, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        reason = f'the document cannot be used: {error}'
        return [faults.Fault(faults.ROOT, reason, 'correct that place')]
    return []
