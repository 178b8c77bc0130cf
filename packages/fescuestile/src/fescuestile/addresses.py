"""Parsing of IP addresses and of addresses with a port."""

import ipaddress

ADDRESS_FORM = "an address of the form IP:port, such as 10.1.1.10:7200"
IP_FORM = "an IP address, such as 10.1.1.10"
MAX_PORT = 65535


def parse_ip(value: str) -> str:
    """Return an IP address in its canonical form.

    :raises ValueError: the text is not an IP address
    """
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError(f"expected {IP_FORM}") from None


def parse_address(value: str) -> str:
    """Return an ``IP:port`` in its canonical form, with IPv6 in brackets.

    :raises ValueError: the text is not of that form
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
    """Return the IP and the port of an address from ``parse_address``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
