// Package keys creates and loads the keys and certificates with which entry VMs authenticate one another.
//
// An authority signs a certificate for each entry VM. A VM accepts a peer whose certificate is issued for PeerName and
// signed by an authority in the VM's own list. To replace an authority, add the new one to the list of every VM, then
// replace the certificates, then remove the old one; running VMs reload changed files.
package keys
