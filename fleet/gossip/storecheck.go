package gossip

import "time"

// StoreCheckAge returns the time since the last successful read of the store by this VM or by a peer that reported it,
// and whether any such read is known.
func (node *Node) StoreCheckAge() (age time.Duration, known bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.watch.checkedAt.IsZero() {
		return 0, false
	}
	return max(0, node.settings.TimerService.Now().Sub(node.watch.checkedAt)), true
}
