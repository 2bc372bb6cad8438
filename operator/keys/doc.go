// Package keys makes the keys and certificates with which entry VMs recognise one another.
//
// An authority signs a certificate for each entry VM. VMs accept a peer whose certificate an authority of their own
// list has signed for PeerName. To replace an authority, add the new one to the list of every VM, then replace the
// certificates, then remove the old one; VMs read changed files while they run.
package keys
