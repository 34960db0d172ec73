"""Bytes of messages, as two builds encode them.

The previous build decodes the bytes in this table: those that it encoded itself, and
the different ones of digests, which omit empty lists and have new lists at the end.
"""

import pytest

from sequoiapoint.protocol import allowances, digests, origins, permits, slots
from sequoiapoint.protocol import configuration_age as ages
from sequoiapoint.protocol.digests import (
    Digest,
    Member,
    Scope,
    ServerLimit,
    SpeedSample,
)
from sequoiapoint.protocol.gateway import ModelDemand

E = ("e-1", 1780000000123)
H = Member("h-2", "z1", "10.0.0.2:7", 500)
LIMITS = (ServerLimit(E, 3.0, 0.1), ServerLimit(E, None, 0.2))
EMPTY = Digest("h-1", "z0", "10.0.0.1:7", 1780000000555)
FULL = Digest(
    *("h-1", "z0", "10.0.0.1:7", 1780000000555, True, 44, 991, True, 7),
    counts=((E, 300),),
    demands=(ModelDemand("lm", "m", "a", 3, 4, 0.7, 2, 0.5),),
    holdings=((E, {"m": frozenset({"a"})}),),
    suspicions=(("f", frozenset({"d"})),),
    scope=Scope.FLEET,
    host_count=9,
    members=(H,),
    relays=(H,),
    is_demand_report=True,
    is_heartbeat=True,
    capacity=390,
    leaving_servers=(E,),
    server_age_s=0.4,
    suspect_parts=(("p", frozenset({5}), True),),
    limits=LIMITS,
    live_zones=("z0", "z1"),
    brittle=LIMITS,
    fallen=(E,),
    turned_away=((E, 0.3),),
    contested=(H,),
    speeds=((77, SpeedSample(1.25, 0.5, 2.0, 30.0)),),
)
ORIGIN = origins.Origin("v1", E, 0.2)
GROUPS = (
    origins.OriginGroup("v1", (b"k" * 12,)),
    origins.OriginGroup("v2", (b"l" * 12, b"m" * 12), E, 0.3),
)
CODECS = {
    "ages": (ages.encode_age_message, ages.decode_age_message),
    "allowances": (
        allowances.encode_allowance_message,
        allowances.decode_allowance_message,
    ),
    "digests": (digests.encode_digest, digests.decode_digest),
    "origins": (origins.encode_origin_message, origins.decode_origin_message),
    "permits": (permits.encode_permit_message, permits.decode_permit_message),
    "slots": (slots.encode_slot_message, slots.decode_slot_message),
}
# Codec, message, and its bytes as encoded by the previous build.
TABLE = [
    (
        "digests",
        EMPTY,
        "102c5007123f2b8a44709e011001ffffffffffffffffff01ffffffffffffffff00021145"
        "2211451a11455a116d071145071169071141071165071165071139071139071139071139"
        "0611350711350711350711490711310707682d31037a30ff31302e302e302e3100033a37"
        "500303400250010150010250030150030150010150020110025002015001025001035001"
        "03500103",
    ),
    (
        "digests",
        FULL,
        "10895007123f2b8a44709e01150f0209012c03df030107038601ff6ffeffffffffffff00"
        "11452211451a11455a1349011f1145371355011f1165171379012713990127117117117d"
        "1f11914711b91611c54711ed1711f91f139d01271305011707682d31037a30ff31302e30"
        "2e302e3100033a375104030311030413bc020203f40111091a110912110912036c6d016d"
        "016141040211051211050e01661101120164510401013f7b8844709e0111012207652d31"
        "51040102010111051211050c01700105510803013f7b8844709e01c0084001641111223f"
        "7b8844709e01c0f0bf01c811052207652d3107652d3111051a11051a037a30037a315108"
        "03013f7b8844709e01c0084001641111223f7b8844709e01c0f0bf01c811052207652d31"
        "07652d31510401013f7b8844709e0111012207652d31510402013f7b8844709e01032c01"
        "11012207652d31110402514d7d320fd0072c01510402013f7b8844709e01032c01110122"
        "07652d31510401023f7b8844709e0111052211051707652d3141040211051211050e016d"
        "11011201615104010303f40111092211091a11095a07682d32037a31ff31302e302e302e"
        "3200033a375104010303f40111092211091a11095a07682d32037a31ff31302e302e302e"
        "3200033a375104010303f40111092211091a11095a07682d32037a31ff31302e302e302e"
        "3200033a37",
    ),
    (
        "slots",
        slots.SlotRequest("h-1", 9, ("e-1", "e-2"), 1, 2.5, 0.7, "o"),
        "ff100e50040301093101c40903bc02000011092211091611151207682d31110522110522"
        "07652d3107652d32016f",
    ),
    (
        "slots",
        slots.SlotReply("h-1", 9, slots.SlotOutcome.QUEUED, E, 0.25),
        "ff100a50040301093f7b8844709e0111010101fa110922110922000007682d3107652d31",
    ),
    (
        "slots",
        slots.SlotRelease("h-1", 9, E, slots.SlotQuality.BROKEN, 1.5, 0.5),
        "ff100a50040301093f7b8844709e0115069602083f110922110922000007682d3107652d31",
    ),
    (
        "allowances",
        allowances.AllowanceRequest(
            "h-1",
            7,
            "o",
            12,
            9.5,
            30.0,
            (allowances.Charge(2.5, 8, 2.0),),
            1.0,
            3.0,
            0.5,
        ),
        "fa10125008030107010cc02340c03e40c0f03fc00840c0e03f000011092211091211091f"
        "07682d31016f110403c00440010803d007",
    ),
    (
        "allowances",
        allowances.AllowanceReply(
            "h-1", 7, waits_s=(0.0, 0.5), credit=20.0, deny_s=0.1, wait_s=0.2, due=(3,)
        ),
        "fa100f50080301071064c0344001c80002010111092211091411090c07682d3130f4010103",
    ),
    (
        "permits",
        permits.PermitRequest("h-1", 9, E, "z0", 7, 1.0, 3.0, 0.1),
        "fe100d50060301093f7b8844709e01010703e803c00840016411092211092211091a0768"
        "2d3107652d31037a30",
    ),
    (
        "permits",
        permits.PermitReply("h-1", 9, permits.PermitOutcome.DENIED, 0.5, True),
        "fe100b500603010903f4010000150101010001110922000107682d31",
    ),
    (
        "origins",
        origins.OriginRecord("s", ORIGIN),
        "fd100c50020200011105125104020201733f7b8844709e0101c811051a11052203763107"
        "652d31",
    ),
    (
        "origins",
        origins.OriginQuery("s", 5),
        "fd10065002020101010511051200000173",
    ),
    (
        "origins",
        origins.OriginReply("s", 5, ORIGIN),
        "fd100c500202010201051105125104020201733f7b8844709e0101c811051a1105220376"
        "3107652d31",
    ),
    (
        "origins",
        origins.OriginBatch(GROUPS, 3),
        "fd101c5002020103000011050a51040101000001031101575108020301010000111d1a11"
        "1d6211210a302c013f7b8844709e0111191a1119c2112122037631ff6b6b6b6b6b6b6b6b"
        "000f6b6b6b6b0000037632ff6c6c6c6c6c6c6c6c026c6c6c6c6d6d6d6d6d6d6d6d6d6d6d"
        "6d07652d31",
    ),
    (
        "ages",
        ages.AgeQuestion(2**63 + 5, "h-1"),
        "fb1006500301810580000111012207682d31",
    ),
    (
        "ages",
        ages.AgeReply(5, 7, 1.5),
        "fb100550030101053101dc0501070000",
    ),
    (
        "ages",
        ages.AgeNotice("h-1", 1.5),
        "fb100650030100003102dc05000011012207682d31",
    ),
]
# Bytes of this build where they differ; checked with the decoder of the previous one.
DIFFERENT = {
    TABLE[0][2]: (
        "10215008143f2b8a44709e011001ffffffffffffffffff01ffffffffffffffff0003114d"
        "22114d1a114d5a001007682d31037a30ff31302e302e302e3100033a37"
    ),
    TABLE[1][2]: (
        "108c5008143f2b8a44709e01150f0209012c03df030107038601ff6ffeffffffffffff00"
        "0000114d22114d1a114d5a1351011f114d37135d011f116d171381012713a10127117917"
        "11851f11994711c11611cd4711f5171301011f13a50127130d0117000107682d31037a30"
        "ff31302e302e302e3100033a375104030311030413bc020203f40111091a110912110912"
        "036c6d016d016141040211051211050e01661101120164510401013f7b8844709e011101"
        "2207652d3151040102010111051211050c01700105510803013f7b8844709e01c0084001"
        "641111223f7b8844709e01c0f0bf01c811052207652d3107652d3111051a11051a037a30"
        "037a31510803013f7b8844709e01c0084001641111223f7b8844709e01c0f0bf01c81105"
        "2207652d3107652d31510401013f7b8844709e0111012207652d31510402013f7b884470"
        "9e01032c0111012207652d31110402514d7d320fd0072c01510402013f7b8844709e0103"
        "2c0111012207652d31510401023f7b8844709e0111052211051707652d31410402110512"
        "11050e016d11011201615104010303f40111092211091a11095a07682d32037a31ff3130"
        "2e302e302e3200033a375104010303f40111092211091a11095a07682d32037a31ff3130"
        "2e302e302e3200033a375104010303f40111092211091a11095a07682d32037a31ff3130"
        "2e302e302e3200033a37"
    ),
}


@pytest.mark.parametrize(("codec", "message", "data"), TABLE)
def test_hosts_of_the_previous_build_are_understood_and_understand(
    codec, message, data
):
    """Guards against a change of the format while two builds run side by side."""
    encode, decode = CODECS[codec]
    assert decode(bytes.fromhex(data)) == message
    assert encode(message).hex() == DIFFERENT.get(data, data)
    assert decode(encode(message)) == message
