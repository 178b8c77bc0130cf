"""What the store keeps of the groups: members, leases, copies."""
