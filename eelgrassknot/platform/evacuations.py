"""Decoder of the operators' requests to evacuate an availability zone."""

from eelgrassknot import ids

__all__ = ['evacuated_zone']

KEY_PREFIX = 'evacuate/'


def evacuated_zone(key: str) -> ids.AvailabilityZoneId | None:
    """Return the zone that a row evacuates, or None for another row.

    The value of the row has no meaning.

    Args:
        key: Key of a row of the table with the desired state.

    Example:
        >>> evacuated_zone('evacuate/zone-a')
        'zone-a'
        >>> evacuated_zone('config') is None
        True
    """
    if not key.startswith(KEY_PREFIX):
        return None
    return ids.AvailabilityZoneId(key.removeprefix(KEY_PREFIX))
