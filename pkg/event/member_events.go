package event

// Codes 6xxx: membership of entry hosts. Event.Detail names the member.
const (
	MemberJoined           Code = 6001
	MemberSuspected        Code = 6002
	MemberDead             Code = 6003
	MemberAlive            Code = 6004
	MemberLeaving          Code = 6005
	MemberRestarted        Code = 6006
	MemberForgotten        Code = 6007
	MemberSelfRefuted      Code = 6010
	MemberSelfWaking       Code = 6011
	MemberSelfAwake        Code = 6012
	MemberSelfJoined       Code = 6013
	MemberSelfLeaving      Code = 6014
	MemberMessageRefused   Code = 6020
	MemberLimitReached     Code = 6021
	MemberHostsUnreadable  Code = 6022
	MemberAddressContested Code = 6023
)

// memberEvents describes the codes 6xxx: membership of entry hosts.
var memberEvents = map[Code]Entry{
	MemberJoined:           {"member-joined", Info, "An entry host was heard of for the first time.", "incarnation"},
	MemberSuspected:        {"member-suspected", Warn, "An entry host did not respond, or a peer reported that; it may refute the suspicion.", "incarnation"},
	MemberDead:             {"member-dead", Warn, "An entry host did not refute the suspicion in time, or announced that it stopped.", "incarnation"},
	MemberAlive:            {"member-alive", Info, "An entry host that was suspect or declared dead refuted that.", "incarnation"},
	MemberLeaving:          {"member-leaving", Info, "An entry host is leaving.", "incarnation"},
	MemberRestarted:        {"member-restarted", Info, "Another process runs at the address of an entry host.", "incarnation"},
	MemberForgotten:        {"member-forgotten", Info, "An entry host was removed from the members after it had been dead for the retention period.", "incarnation"},
	MemberSelfRefuted:      {"member-self-refuted", Warn, "Peers considered this entry host suspect or dead; it refuted that.", "incarnation"},
	MemberSelfWaking:       {"member-self-waking", Warn, "This process was paused; it brings its state up to date before it acts.", "pause in milliseconds"},
	MemberSelfAwake:        {"member-self-awake", Info, "After a pause, this process is up to date or found no peer.", "incarnation"},
	MemberSelfJoined:       {"member-self-joined", Info, "This entry host exchanged its members with a first peer, or has no peer.", "members"},
	MemberSelfLeaving:      {"member-self-leaving", Info, "This entry host announces to its peers that it is leaving.", "incarnation"},
	MemberMessageRefused:   {"member-message-refused", Warn, "Membership messages were malformed, unauthenticated or too many; counted since the last event.", "messages"},
	MemberLimitReached:     {"member-limit-reached", Warn, "A new entry host was not added: the member limit is reached.", "members"},
	MemberHostsUnreadable:  {"member-hosts-unreadable", Warn, "The platform's host list could not be read.", ""},
	MemberAddressContested: {"member-address-contested", Warn, "Another process claims this entry host's peer address.", "incarnation"},
}
