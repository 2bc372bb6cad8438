package gossip

import "time"

// StoreCheckAge returns how long ago this VM, or a peer that told it, read the store, and whether any read is known.
func (node *Node) StoreCheckAge() (age time.Duration, known bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.watch.checkedAt.IsZero() {
		return 0, false
	}
	return max(0, node.settings.TimerService.Now().Sub(node.watch.checkedAt)), true
}
