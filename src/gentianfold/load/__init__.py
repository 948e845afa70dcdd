"""An open-loop load tool for VMs on the loopback interface."""
