package fbcrowd

import (
	"testing"
	"time"
)

// manyDescriptors are more than any crowd of these tests needs.
const manyDescriptors = 4096

// TestCrowdAtNode guards against daemons of a fleet that end for lack of memory, or that use up
// their descriptors, beside callers that don't finish their requests.
func TestCrowdAtNode(t *testing.T) {
	tests := map[string]struct {
		crowd       crowd
		descriptors int
	}{
		"whole":        {crowd{400, body(nodeBody, nodeBody, 0)}, manyDescriptors},
		"pieces":       {crowd{400, body(nodeBody, 8192, 20*time.Millisecond)}, manyDescriptors},
		"one chunk":    {crowd{400, oneChunk(nodeBody)}, manyDescriptors},
		"small chunks": {crowd{400, smallChunks(nodeBody)}, manyDescriptors},
		"headers":      {crowd{1500, header}, manyDescriptors},
		"fields":       {crowd{600, fields}, manyDescriptors},
		"many steps":   {crowd{60, repeated(nodeBody, `{"spec":"","bestEffort":true,"steps":[`, `{}`, `]}`)}, manyDescriptors},
		"many tasks":   {crowd{20, repeated(2700, `{"spec":"","bestEffort":true,"steps":[`, `{"count":4096,"cpu":100,"estimateMs":9}`, `]}`)}, manyDescriptors},
		"labels":       {crowd{400, labelled(1, 250_000, true)}, manyDescriptors},
		"stored":       {crowd{200, labelled(20, 50_000, false)}, manyDescriptors},
		"unread":       {crowd{400, unread}, manyDescriptors},
		"descriptors":  {crowd{400, body(4096, 4096, 0)}, 256},
		"idle":         {crowd{400, idle}, 256},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { tt.crowd.run(t, startNode(t, tt.descriptors)) })
	}
}

// TestCrowdAtEntryDaemon is the same for stand-alone daemons.
func TestCrowdAtEntryDaemon(t *testing.T) {
	tests := map[string]struct {
		crowd       crowd
		descriptors int
	}{
		"whole":        {crowd{150, body(entryBody, entryBody, 0)}, manyDescriptors},
		"pieces":       {crowd{150, body(entryBody, 8192, 20*time.Millisecond)}, manyDescriptors},
		"one chunk":    {crowd{150, oneChunk(entryBody)}, manyDescriptors},
		"small chunks": {crowd{150, smallChunks(entryBody)}, manyDescriptors},
		"headers":      {crowd{1500, header}, manyDescriptors},
		"fields":       {crowd{600, fields}, manyDescriptors},
		"many tasks":   {crowd{60, repeated(entryBody, `{"team":"depot","service":"ordering","tasks":[`, `{}`, `]}`)}, manyDescriptors},
		"unread":       {crowd{400, unread}, manyDescriptors},
		"leave":        {crowd{400, leave}, manyDescriptors},
		"descriptors":  {crowd{400, body(4096, 4096, 0)}, 256},
		"idle":         {crowd{400, idle}, 256},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { tt.crowd.run(t, startEntryDaemon(t, tt.descriptors)) })
	}
}

// TestLargestRequestIsServed guards against limits that reject a single request of the largest
// size that callers may send.
func TestLargestRequestIsServed(t *testing.T) {
	d := startNode(t, manyDescriptors)
	d.checkServes("largest", string(padded(d.job, nodeBody)))
	d = startEntryDaemon(t, manyDescriptors)
	d.checkServes("largest", string(padded(d.job, entryBody)))
}
