package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An outage of the store", func() {
	at := func(d time.Duration) time.Time { return time.UnixMilli(1e6).Add(d) }
	var o *outage

	BeforeEach(func() {
		o = &outage{}
		o.succeeded(at(0), at(0))
	})

	mayReturn := func(now time.Duration) bool {
		_, may := o.registrationsMayReturn(at(now))
		return may
	}

	It("lets registrations return while it lasts and for a while after its end", func() {
		o.failed(at(time.Second))
		Expect(mayReturn(1500*time.Millisecond)).To(BeFalse(), "none has expired yet")
		Expect(mayReturn(2 * time.Second)).To(BeTrue())
		o.succeeded(at(5*time.Second), at(5*time.Second))
		until, may := o.registrationsMayReturn(at(7 * time.Second))
		Expect(may).To(BeTrue())
		Expect(until).To(Equal(at(5*time.Second + registrationGrace)))
		Expect(mayReturn(5*time.Second + registrationGrace)).To(BeFalse())
	})

	It("is none if a single call fails", func() {
		o.failed(at(time.Second))
		o.succeeded(at(1300*time.Millisecond), at(1300*time.Millisecond))
		Expect(mayReturn(1300 * time.Millisecond)).To(BeFalse())
		Expect(mayReturn(3 * time.Second)).To(BeFalse())
	})

	It("does not begin with the failure of a call that was sent before the last response", func() {
		o.succeeded(at(2*time.Second), at(2*time.Second))
		o.failed(at(time.Second)) // a watch that ran into its timeout
		Expect(mayReturn(4 * time.Second)).To(BeFalse())
	})

	It("does not end with a state from before it", func() {
		o.failed(at(time.Second))
		o.succeeded(at(900*time.Millisecond), at(2*time.Second)) // a source that has not noticed yet
		Expect(mayReturn(2500 * time.Millisecond)).To(BeTrue())
	})
})
