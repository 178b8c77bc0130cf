"""Addresses by IP number."""

import ipaddress

ADDRESS_FORM = "an address of the form IP:port, such as 10.1.1.10:7200"
IP_FORM = "an IP number, such as 10.1.1.10"
MAX_PORT = 65535


def parse_ip(value: str) -> str:
    """Return an IP number in its usual form.

    :raises ValueError: the text is no IP number
    """
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError(f"expected {IP_FORM}") from None


def parse_address(value: str) -> str:
    """Return an ``IP:port`` in its usual form; IPv6 in brackets.

    :raises ValueError: the text is no such address
    """
    host, _, port = value.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"expected {ADDRESS_FORM}") from None
    digits = port.isascii() and port.isdigit()
    if bracketed != (ip.version == 6) or not digits or int(port) > MAX_PORT:
        raise ValueError(f"expected {ADDRESS_FORM}")
    return f"[{ip}]:{int(port)}" if bracketed else f"{ip}:{int(port)}"


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of an address that was checked."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
